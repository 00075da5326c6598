package dhcontrol

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
	"dandelionhoist.example/dh/dhwatch"
)

const (
	// loadValid is how long the loads of an entry VM count that has not been
	// heard again: some watch periods.
	loadValid = 1500 * time.Millisecond
	// entryCounted is how long an entry VM counts for shares of bounds after it
	// was last heard. It may go on sending while it is cut off.
	entryCounted = 15 * time.Second
	// maxEntries bounds the entry VMs; twice the two-year size.
	maxEntries = 4_000
)

// entries is what is known of the entry VMs: those that watch this VM, and
// those that other control VMs tell of. It is safe for use by several goroutines.
type entries struct {
	timers dhtimer.Service

	mu     sync.Mutex
	direct map[string]*entry
	// remote holds what each other control VM last told.
	remote map[string]*remoteEntries
	// all and own are the loads of all entry VMs, and of those that watch this VM.
	all, own loadList
}

// loadsKept is how long sums of loads are told before they are made anew:
// a part of the period in which each entry VM reports.
const loadsKept = 100 * time.Millisecond

// loadList is an encoded dhpb.LoadList.
type loadList struct {
	encoded []byte
	made    time.Time
}

type entry struct {
	incarnation uint64
	heard       time.Time
	loads       []*dhpb.BackendLoad
	counters    []*dhpb.VersionCounter
	rates       []*dhpb.PoolRate
}

type remoteEntries struct {
	heard   time.Time
	loads   []*dhpb.BackendLoad
	rates   []*dhpb.PoolRate
	entries []*dhpb.EntryRecord
}

// report takes what an entry VM says of itself.
func (e *entries) report(vm string, incarnation uint64, r *dhpb.EntryReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.direct == nil {
		e.direct = make(map[string]*entry)
	}
	if _, known := e.direct[vm]; !known && len(e.direct) >= maxEntries {
		return
	}
	e.direct[vm] = &entry{incarnation: incarnation, heard: e.timers.Now(), loads: r.GetLoads(), counters: r.GetCounters(), rates: r.GetRates()}
}

// merge takes what another control VM says of its entry VMs. Code:
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
	e.remote[control] = &remoteEntries{heard: e.timers.Now(), loads: loads, rates: r.GetRates(), entries: r.GetEntries()}
	return nil
}

// records returns the entry VMs that watch this VM, and forgets those that
// have been gone for long.
func (e *entries) records() []*dhpb.EntryRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	list := make([]*dhpb.EntryRecord, 0, len(e.direct))
	for vm, d := range e.direct {
		age := now.Sub(d.heard)
		if age > entryCounted {
			delete(e.direct, vm)
			continue
		}
		list = append(list, &dhpb.EntryRecord{
			Vm: vm, Incarnation: d.incarnation, Age: durationpb.New(age), Report: &dhpb.EntryReport{Counters: d.counters},
		})
	}
	return list
}

// directLoads returns the loads of the entry VMs that watch this VM, encoded.
func (e *entries) directLoads() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own.get(e.timers.Now(), func() loadSums { return e.sumDirect(make(loadSums)) })
}

// allLoads returns the loads of all entry VMs, encoded.
func (e *entries) allLoads() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all.get(e.timers.Now(), e.sumAll)
}

// get returns the list, made anew from sum when it is old.
func (l *loadList) get(now time.Time, sum func() loadSums) ([]byte, error) {
	if !l.made.IsZero() && now.Sub(l.made) < loadsKept {
		return l.encoded, nil
	}
	encoded, err := proto.Marshal(&dhpb.LoadList{Loads: sum().list()})
	if err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, err)
	}
	l.encoded, l.made = encoded, now
	return encoded, nil
}

func (e *entries) sumDirect(sums loadSums) loadSums {
	now := e.timers.Now()
	for _, d := range e.direct {
		if now.Sub(d.heard) <= loadValid {
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
		if now.Sub(r.heard) <= loadValid {
			sums.add(r.loads)
		}
	}
	return sums
}

// loadSums are loads by backend server.
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

// count returns the number of entry VMs that may be sending requests.
func (e *entries) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	names := make(map[string]bool)
	for vm, d := range e.direct {
		if now.Sub(d.heard) <= entryCounted {
			names[vm] = true
		}
	}
	for _, r := range e.remote {
		for _, record := range r.entries {
			if now.Sub(r.heard)+record.GetAge().AsDuration() <= entryCounted {
				names[record.GetVm()] = true
			}
		}
	}
	return len(names)
}

// directRates sums the requests a second by pool of the entry VMs that watch
// this VM.
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
		if now.Sub(d.heard) > loadValid {
			continue
		}
		for _, r := range d.rates {
			sums[r.GetPool()] += r.GetPerSecond()
		}
	}
	return sums
}

// rate sums the requests a second that entry VMs get for a pool.
func (e *entries) rate(pool string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	sum := e.sumRates()[pool]
	for _, r := range e.remote {
		if now.Sub(r.heard) > loadValid {
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

// counterKey names the counters of one start of an entry VM. Counters only
// grow, so that the larger of two is the newer.
type counterKey struct {
	vm          string
	incarnation uint64
	release     string
}

// counts sums the answers of a rollout: those of its target and those of the
// other versions.
func (e *entries) counts(pool, target string, number uint64) (before, after dhversion.Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := make(map[counterKey]*dhpb.VersionCounter)
	add := func(vm string, incarnation uint64, counters []*dhpb.VersionCounter) {
		for _, c := range counters {
			k := counterKey{vm, incarnation, c.GetVersion()}
			if c.GetPool() == pool && c.GetRolloutRevision() == number && c.GetAnswers() >= newest[k].GetAnswers() {
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
	for k, c := range newest {
		sum := &before
		if k.release == target {
			sum = &after
		}
		sum.Answers += c.GetAnswers()
		sum.Bad += c.GetBad()
		sum.Timed += c.GetRated()
		sum.Slow += c.GetLow()
	}
	return before, after
}
