package dhlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

const (
	// demandTimeConstant is the time constant of the moving average of demands: about the
	// age of the sums, so that it adds little to their delay.
	demandTimeConstant = 600 * time.Millisecond
	// maxTrackedDemands bounds the rows that a VM tracks.
	maxTrackedDemands = 1024
	// MaxDemands bounds the rows that a message holds for each pool.
	MaxDemands = 64
	// maxDemand bounds the numbers that are accepted of others, as those of backend servers.
	maxDemand = 1 << 20
	// minDemandPerSecond is the rate below which a demand is not told to others and is
	// forgotten: such an account is always within its share.
	minDemandPerSecond = 0.02
	// minPassRatio is the least pass rate of an account and rank relative to that of all
	// requests. The bound is a quarter; the rest is room for chance and stale sums.
	minPassRatio = 0.4
	// maxRankAdvantage is how much higher the pass rate of a less urgent rank may be than
	// that of a more urgent one. The bound is 0.05, and chance adds a few hundredths.
	maxRankAdvantage = 0.0
)

// Demand is what the requests of a client account of one rank demand of a pool. Account
// is empty for requests of public routes.
type Demand struct {
	Pool, Account string
	Rank          int
	// PerSecond is the number of requests per second, Slots the number of slots that they
	// would hold on average if all were served at once.
	PerSecond, Slots float64
}

type demandKey struct {
	pool, account string
	rank          int
}

func (d Demand) key() demandKey { return demandKey{d.Pool, d.Account, d.Rank} }

// demandRow is the moving average of a demand at a time, as sums over demandTimeConstant.
type demandRow struct {
	requests, slotTime float64
	at                 time.Time
}

func (r demandRow) decayed(now time.Time) demandRow {
	f := math.Exp(-float64(now.Sub(r.at)) / float64(demandTimeConstant))
	return demandRow{r.requests * f, r.slotTime * f, now}
}

// Demands tracks the demand of the requests that reach this VM. The zero value is ready
// to use. It is safe for use by several goroutines.
type Demands struct {
	mu   sync.Mutex
	rows map[demandKey]demandRow
}

// Add counts a request that is expected to hold a slot for a time. A request that is
// refused and comes again counts each time.
func (d *Demands) Add(pool, account string, rank int, hold time.Duration, now time.Time) {
	k := demandKey{pool, account, rank}
	d.mu.Lock()
	defer d.mu.Unlock()
	row, known := d.rows[k]
	if !known && len(d.rows) >= maxTrackedDemands {
		d.forget(now)
		if len(d.rows) >= maxTrackedDemands {
			return
		}
	}
	if d.rows == nil {
		d.rows = make(map[demandKey]demandRow)
	}
	row = row.decayed(now)
	row.requests++
	row.slotTime += hold.Seconds()
	d.rows[k] = row
}

func (d *Demands) forget(now time.Time) {
	for k, row := range d.rows {
		if row.decayed(now).requests < minDemandPerSecond*demandTimeConstant.Seconds() {
			delete(d.rows, k)
		}
	}
}

// List returns the demands of the pools for which include returns true, at most
// MaxDemands for each.
func (d *Demands) List(now time.Time, include func(pool string) bool) []Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Demand
	for k, row := range d.rows {
		if !include(k.pool) {
			continue
		}
		row = row.decayed(now)
		if perSecond := row.requests / demandTimeConstant.Seconds(); perSecond >= minDemandPerSecond {
			list = append(list, Demand{k.pool, k.account, k.rank, perSecond, row.slotTime / demandTimeConstant.Seconds()})
		}
	}
	return LargestDemands(list)
}

// SumDemands adds up the demands of several VMs, at most MaxDemands for each pool.
func SumDemands(lists ...[]Demand) []Demand {
	sums := make(map[demandKey]Demand)
	for _, list := range lists {
		for _, d := range list {
			sum := sums[d.key()]
			d.PerSecond += sum.PerSecond
			d.Slots += sum.Slots
			sums[d.key()] = d
		}
	}
	all := make([]Demand, 0, len(sums))
	for _, d := range sums {
		all = append(all, d)
	}
	return LargestDemands(all)
}

// LargestDemands sorts demands by pool and size and returns the MaxDemands largest of
// each pool.
func LargestDemands(list []Demand) []Demand {
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(b.Slots, a.Slots), cmp.Compare(b.PerSecond, a.PerSecond),
			cmp.Compare(a.Account, b.Account), cmp.Compare(a.Rank, b.Rank))
	})
	n, pool := 0, ""
	return slices.DeleteFunc(list, func(d Demand) bool {
		if d.Pool != pool {
			n, pool = 0, d.Pool
		}
		n++
		return n > MaxDemands
	})
}

// passRates returns the share of the requests of each account and rank of one pool that
// pass, so that those that pass demand capacity slots. weight returns the weight of an
// account. The shares are weighted max-min over the accounts; an account's share goes to
// its most urgent requests first.
func passRates(demands []Demand, weight func(account string) float64, capacity float64) map[demandKey]float64 {
	total := 0.0
	accounts := make(map[string]float64)
	for _, d := range demands {
		total += d.Slots
		accounts[d.Account] += d.Slots
	}
	rates := make(map[demandKey]float64, len(demands))
	if total <= capacity {
		return rates
	}
	overall := capacity / total
	least := func(account string) float64 {
		if account == "" {
			return overall // the requests of many callers count as one account
		}
		return minPassRatio * overall
	}
	allowance := func(account string, level float64) float64 {
		return min(max(weight(account)*level, least(account)*accounts[account]), accounts[account])
	}
	low, high := 0.0, total
	for range 40 { // to a relative precision far below that of the demands
		level, sum := (low+high)/2, 0.0
		for account := range accounts {
			sum += allowance(account, level)
		}
		if sum > capacity {
			high = level
		} else {
			low = level
		}
	}
	slices.SortStableFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	left := make(map[string]float64, len(accounts)) // beyond the least of each rank
	for account, slots := range accounts {
		left[account] = max(allowance(account, low)-least(account)*slots, 0)
	}
	for _, d := range demands {
		extra := min(left[d.Account], (1-least(d.Account))*d.Slots)
		left[d.Account] -= extra
		if d.Slots > 0 {
			rates[d.key()] = least(d.Account) + extra/d.Slots
		}
	}
	balanceRanks(demands, rates)
	for k, rate := range rates {
		rates[k] = min(max(rate, minPassRatio*overall), 1)
	}
	return rates
}

// balanceRanks moves slots from less urgent ranks to more urgent ones until the pass rate
// of none is higher than that of a more urgent one by more than maxRankAdvantage. demands
// are sorted by rank.
func balanceRanks(demands []Demand, rates map[demandKey]float64) {
	type rankSum struct{ demand, passed float64 }
	var ranks []int
	sums := make(map[int]*rankSum)
	for _, d := range demands {
		if sums[d.Rank] == nil {
			sums[d.Rank] = &rankSum{}
			ranks = append(ranks, d.Rank)
		}
		sums[d.Rank].demand += d.Slots
		sums[d.Rank].passed += d.Slots * rates[d.key()]
	}
	before := make(map[int]float64, len(ranks))
	for rank, s := range sums {
		before[rank] = s.passed
	}
	for range len(ranks) {
		for i, urgent := range ranks {
			for _, other := range ranks[i+1:] {
				u, o := sums[urgent], sums[other]
				if u.demand <= 0 || o.demand <= 0 {
					continue
				}
				difference := o.passed/o.demand - u.passed/u.demand - maxRankAdvantage
				if difference <= 0 {
					continue
				}
				moved := min(difference/(1/u.demand+1/o.demand), u.demand-u.passed)
				u.passed, o.passed = u.passed+moved, o.passed-moved
			}
		}
	}
	for _, d := range demands {
		s, k := sums[d.Rank], d.key()
		switch {
		case s.passed > before[d.Rank]:
			rates[k] += (1 - rates[k]) * (s.passed - before[d.Rank]) / (s.demand - before[d.Rank])
		case before[d.Rank] > 0:
			rates[k] *= s.passed / before[d.Rank]
		}
	}
}

// DemandRecords converts demands to their message.
func DemandRecords(list []Demand) []*dhpb.AccountDemand {
	records := make([]*dhpb.AccountDemand, 0, len(list))
	for _, d := range list {
		records = append(records, &dhpb.AccountDemand{Pool: d.Pool, Account: d.Account, Rank: int32(d.Rank), PerSecond: d.PerSecond, Slots: d.Slots})
	}
	return records
}

// DemandsOf converts demands from their message. Rows without a sensible number are left
// out, and those beyond what a VM tracks.
func DemandsOf(records []*dhpb.AccountDemand) []Demand {
	list := make([]Demand, 0, min(len(records), maxTrackedDemands))
	for _, r := range records {
		sensible := r.GetPerSecond() >= 0 && r.GetPerSecond() <= maxDemand && r.GetSlots() >= 0 && r.GetSlots() <= maxDemand
		if sensible && len(list) < maxTrackedDemands {
			list = append(list, Demand{r.GetPool(), r.GetAccount(), int(r.GetRank()), r.GetPerSecond(), r.GetSlots()})
		}
	}
	return list
}
