package dhentry

import (
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhwatch"
)

// updateAdmission tells the router how the pools are used by all entry VMs, as of a
// response of a control VM.
func (e *Entry) updateAdmission(u dhwatch.Update) {
	s := e.router.Snapshot()
	totals := make(map[string]dhlimit.PoolTotals)
	for _, b := range s.Backends.All() {
		if weight, reduced := s.ZoneWeight[b.Zone]; b.State != dhbackend.Ready || (reduced && weight <= 0) || !e.router.Usable(b) {
			continue
		}
		sum := totals[b.Pool]
		totals[b.Pool] = dhlimit.PoolTotals{Slots: sum.Slots + b.Slots, Running: sum.Running + b.Running}
	}
	e.router.UpdateAdmission(dhlimit.News{
		Totals: totals, Demands: dhlimit.DemandsOf(u.GetDemands()), Summed: u.GetSumsDemands(), Weight: e.accountWeight, MaxWait: e.maxWaits(),
	})
}

// accountWeight returns the weight of a client account; 1 unless the tables state one.
func (e *Entry) accountWeight(account string) float64 {
	if e.tables == nil {
		return 1
	}
	return float64(max(e.tables.Accounts[account].Weight, 1))
}

// maxWaitFraction is the part of the target time of a route's answer that may pass in a
// queue; the rest is for the answer itself.
const maxWaitFraction = 0.5

// maxWaits returns by pool how long requests may wait for a slot without being late. The
// route with the shortest target time decides.
func (e *Entry) maxWaits() map[string]time.Duration {
	waits := make(map[string]time.Duration)
	if e.tables == nil {
		return waits
	}
	add := func(pool string, objective time.Duration) {
		wait := time.Duration(maxWaitFraction * float64(objective))
		if old, known := waits[pool]; wait > 0 && (!known || wait < old) {
			waits[pool] = wait
		}
	}
	for _, route := range e.tables.Routes {
		add(route.Pool, route.Objective)
		for _, target := range route.Split {
			add(target.Pool, route.Objective)
		}
	}
	return waits
}

// demands returns the demands to report.
func (e *Entry) demands() []*dhpb.AccountDemand { return dhlimit.DemandRecords(e.router.Demands()) }
