package dhcontrol

import (
	"time"

	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhpb"
)

// demandSum is a sum of demands that is reused for loadCacheTTL.
type demandSum struct {
	records []*dhpb.AccountDemand
	at      time.Time
}

// demandsOf returns the demands of a report, bounded for each pool.
func demandsOf(records []*dhpb.AccountDemand) []dhlimit.Demand {
	if len(records) == 0 {
		return nil
	}
	return dhlimit.LargestDemands(dhlimit.DemandsOf(records))
}

// directDemands returns the sums of the demands of the entry VMs that watch this VM.
func (e *entries) directDemands() []*dhpb.AccountDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directDemand.get(e.timers.Now(), e.demandLists)
}

// allDemands returns the sums of the demands of all entry VMs.
func (e *entries) allDemands() []*dhpb.AccountDemand {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	return e.totalDemand.get(now, func() [][]dhlimit.Demand {
		lists := e.demandLists()
		for _, r := range e.remote {
			if now.Sub(r.lastHeard) <= loadTTL {
				lists = append(lists, r.demands)
			}
		}
		return lists
	})
}

func (e *entries) demandLists() [][]dhlimit.Demand {
	now := e.timers.Now()
	var lists [][]dhlimit.Demand
	for _, d := range e.direct {
		if len(d.demands) > 0 && now.Sub(d.lastHeard) <= loadTTL {
			lists = append(lists, d.demands)
		}
	}
	return lists
}

func (s *demandSum) get(now time.Time, lists func() [][]dhlimit.Demand) []*dhpb.AccountDemand {
	if s.at.IsZero() || now.Sub(s.at) >= loadCacheTTL {
		s.records, s.at = dhlimit.DemandRecords(dhlimit.SumDemands(lists()...)), now
	}
	return s.records
}
