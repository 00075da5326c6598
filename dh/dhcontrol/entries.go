package dhcontrol

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgrant"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
	"dandelionhoist.example/dh/dhwatch"
)

const (
	// loadTTL is how long the last reported loads of an entry VM are used:
	// several watch periods.
	loadTTL = 1500 * time.Millisecond
	// entryTTL is how long after its last report an entry VM counts when bounds
	// are divided among entry VMs. It may still send requests while it is
	// partitioned.
	entryTTL = 15 * time.Second
	// maxEntries bounds the number of entry VMs. It is twice the number planned
	// for two years from now.
	maxEntries = 4_000
)

// entries holds the state of the entry VMs: those that watch this VM, and those
// that other control VMs report. It is safe for concurrent use.
type entries struct {
	timers dhtimer.Service

	mu     sync.Mutex
	direct map[string]*entry
	// remote holds the last report of each other control VM.
	remote map[string]*remoteEntries
	// totalSum and directSum are the cached loads of all entry VMs and of those
	// that watch this VM.
	totalSum, directSum loadList
	// totalDemand and directDemand are the cached demands of the same VMs.
	totalDemand, directDemand demandSum
}

// loadCacheTTL is how long encoded load sums are reused before they are
// recomputed. It is a fraction of the period at which each entry VM reports.
const loadCacheTTL = 100 * time.Millisecond

// loadList is an encoded dhpb.LoadList.
type loadList struct {
	encoded   []byte
	encodedAt time.Time
}

type entry struct {
	incarnation uint64
	lastHeard   time.Time
	loads       []*dhpb.BackendLoad
	counters    []*dhpb.VersionCounter
	rates       []*dhpb.PoolRate
	demands     []dhlimit.Demand
	// grants identifies the grant table that the VM holds.
	grants *dhpb.GrantTableId
	// relay is nil if the VM carries no connections of others.
	relay *dhpb.Relay
}

type remoteEntries struct {
	lastHeard time.Time
	loads     []*dhpb.BackendLoad
	rates     []*dhpb.PoolRate
	demands   []dhlimit.Demand
	entries   []*dhpb.EntryRecord
	relays    []*dhpb.Relay
}

// report stores the report of an entry VM that watches this VM.
func (e *entries) report(m *dhpb.ControlWatchRequest) {
	vm, r := m.GetVm(), m.GetReport()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.direct == nil {
		e.direct = make(map[string]*entry)
	}
	if _, known := e.direct[vm]; !known && len(e.direct) >= maxEntries {
		return
	}
	e.direct[vm] = &entry{
		incarnation: m.GetIncarnation(), lastHeard: e.timers.Now(), loads: r.GetLoads(), counters: r.GetCounters(), rates: r.GetRates(),
		grants: m.GetGrants(), relay: relayOf(m), demands: demandsOf(r.GetDemands()),
	}
}

// merge stores what another control VM reports about its entry VMs. Code:
// request-malformed.
func (e *entries) merge(control string, r *dhpb.ControlWatchResponse) error {
	loads, err := dhwatch.Loads(r)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remote == nil {
		e.remote = make(map[string]*remoteEntries)
	}
	e.remote[control] = &remoteEntries{lastHeard: e.timers.Now(), loads: loads, rates: r.GetRates(), entries: r.GetEntries(), relays: r.GetRelays(), demands: demandsOf(r.GetDemands())}
	return nil
}

// records returns the entry VMs that watch this VM and deletes those that have
// not reported for longer than entryTTL. Their request rates are included only
// while they are needed to divide rate limits.
func (e *entries) records(withRates bool) []*dhpb.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	rates := func(d *entry) []*dhpb.PoolRate {
		if withRates {
			return d.rates
		}
		return nil
	}
	list := make([]*dhpb.EntryRecord, 0, len(e.direct))
	for vm, d := range e.direct {
		age := now.Sub(d.lastHeard)
		if age > entryTTL {
			delete(e.direct, vm)
			continue
		}
		list = append(list, &dhpb.EntryRecord{
			Vm: vm, Incarnation: d.incarnation, Age: durationpb.New(age), Report: &dhpb.EntryReport{Counters: d.counters, Rates: rates(d)},
			Grants: d.grants,
		})
	}
	return list
}

// directLoads returns the encoded loads of the entry VMs that watch this VM.
func (e *entries) directLoads() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directSum.get(e.timers.Now(), func() loadSums { return e.sumDirect(make(loadSums)) })
}

// allLoads returns the encoded loads of all entry VMs.
func (e *entries) allLoads() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totalSum.get(e.timers.Now(), e.sumAll)
}

// get returns the cached list, or encodes a new one from sum if the cached one
// has expired.
func (l *loadList) get(now time.Time, sum func() loadSums) ([]byte, error) {
	if !l.encodedAt.IsZero() && now.Sub(l.encodedAt) < loadCacheTTL {
		return l.encoded, nil
	}
	encoded, err := proto.Marshal(&dhpb.LoadList{Loads: sum().list()})
	if err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, err)
	}
	l.encoded, l.encodedAt = encoded, now
	return encoded, nil
}

func (e *entries) sumDirect(sums loadSums) loadSums {
	now := e.timers.Now()
	for _, d := range e.direct {
		if now.Sub(d.lastHeard) <= loadTTL {
			sums.add(d.loads)
		}
	}
	return sums
}

// loadSums returns the loads of all entry VMs.
func (e *entries) loadSums() loadSums {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sumAll()
}

func (e *entries) sumAll() loadSums {
	now := e.timers.Now()
	sums := e.sumDirect(make(loadSums))
	for _, r := range e.remote {
		if now.Sub(r.lastHeard) <= loadTTL {
			sums.add(r.loads)
		}
	}
	return sums
}

// loadSums maps IDs of backend servers to the sums of their loads.
type loadSums map[string]*dhpb.BackendLoad

func (s loadSums) add(loads []*dhpb.BackendLoad) {
	for _, l := range loads {
		sum := s[l.GetId()]
		if sum == nil {
			sum = &dhpb.BackendLoad{Id: l.GetId()}
			s[l.GetId()] = sum
		}
		sum.Running += l.GetRunning()
		sum.Reading += l.GetReading()
	}
}

func (s loadSums) list() []*dhpb.BackendLoad {
	list := make([]*dhpb.BackendLoad, 0, len(s))
	for _, sum := range s {
		list = append(list, sum)
	}
	return list
}

// holders returns the entry VMs that have reported within a duration, with their
// request rates by pool.
func (e *entries) holders(silence time.Duration) []dhgrant.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	newest := make(map[string]*dhpb.EntryRecord)
	lastHeard := make(map[string]time.Time)
	add := func(at time.Time, r *dhpb.EntryRecord) {
		if vm := r.GetVm(); now.Sub(at) <= silence && at.After(lastHeard[vm]) {
			lastHeard[vm], newest[vm] = at, r
		}
	}
	for vm, d := range e.direct {
		add(d.lastHeard, &dhpb.EntryRecord{Vm: vm, Report: &dhpb.EntryReport{Rates: d.rates}, Grants: d.grants})
	}
	for _, r := range e.remote {
		for _, record := range r.entries {
			add(r.lastHeard.Add(-record.GetAge().AsDuration()), record)
		}
	}
	list := make([]dhgrant.VM, 0, len(newest))
	for vm, r := range newest {
		row := dhgrant.VM{Name: vm, Held: r.GetGrants(), Rates: make(map[string]float64)}
		for _, rate := range r.GetReport().GetRates() {
			row.Rates[rate.GetPool()] = rate.GetPerSecond()
		}
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b dhgrant.VM) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// count returns the number of entry VMs that may be sending requests, and how many of
// their names come before that of a VM.
func (e *entries) count(vm string) (all, before int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	names := make(map[string]bool)
	for vm, d := range e.direct {
		if now.Sub(d.lastHeard) <= entryTTL {
			names[vm] = true
		}
	}
	for _, r := range e.remote {
		for _, record := range r.entries {
			if now.Sub(r.lastHeard)+record.GetAge().AsDuration() <= entryTTL {
				names[record.GetVm()] = true
			}
		}
	}
	for name := range names {
		if name < vm {
			before++
		}
	}
	return len(names), before
}

// directRates returns the requests per second of each pool, summed over the entry
// VMs that watch this VM.
func (e *entries) directRates() []*dhpb.PoolRate {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*dhpb.PoolRate
	for pool, rate := range e.sumRates() {
		list = append(list, &dhpb.PoolRate{Pool: pool, PerSecond: rate})
	}
	return list
}

func (e *entries) sumRates() map[string]float64 {
	now := e.timers.Now()
	sums := make(map[string]float64)
	for _, d := range e.direct {
		if now.Sub(d.lastHeard) > loadTTL {
			continue
		}
		for _, r := range d.rates {
			sums[r.GetPool()] += r.GetPerSecond()
		}
	}
	return sums
}

// rate returns the requests per second that all entry VMs receive for a pool.
func (e *entries) rate(pool string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	sum := e.sumRates()[pool]
	for _, r := range e.remote {
		if now.Sub(r.lastHeard) > loadTTL {
			continue
		}
		for _, row := range r.rates {
			if row.GetPool() == pool {
				sum += row.GetPerSecond()
			}
		}
	}
	return sum
}

// counterKey identifies the counters of one incarnation of an entry VM. Counters
// only increase, so the larger of two values is the newer one.
type counterKey struct {
	vm          string
	incarnation uint64
	release     string
	class       string
}

// observations returns a number that increases with each change of a counter.
func observations(c *dhpb.VersionCounter) int64 { return c.GetAnswers() + c.GetRated() + c.GetPaced() }

// counts sums the answers counted during a rollout, separately for the other
// versions (before) and the target (after) and by class.
func (e *entries) counts(pool, target string, number uint64) (before, after dhversion.ClassCounts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := make(map[counterKey]*dhpb.VersionCounter)
	add := func(vm string, incarnation uint64, counters []*dhpb.VersionCounter) {
		for _, c := range counters {
			k := counterKey{vm, incarnation, c.GetVersion(), c.GetClass()}
			if c.GetPool() == pool && c.GetRolloutRevision() == number && observations(c) >= observations(newest[k]) {
				newest[k] = c
			}
		}
	}
	for vm, d := range e.direct {
		add(vm, d.incarnation, d.counters)
	}
	for _, r := range e.remote {
		for _, record := range r.entries {
			add(record.GetVm(), record.GetIncarnation(), record.GetReport().GetCounters())
		}
	}
	before, after = make(dhversion.ClassCounts), make(dhversion.ClassCounts)
	for k, c := range newest {
		counts := before
		if k.release == target {
			counts = after
		}
		sum := counts[k.class]
		sum.Answers += c.GetAnswers()
		sum.Bad += c.GetBad()
		sum.Timed += c.GetRated()
		sum.Slow += c.GetLow()
		sum.Paced += c.GetPaced()
		sum.SlowPaced += c.GetSlowPaced()
		counts[k.class] = sum
	}
	return before, after
}
