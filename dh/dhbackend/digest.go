package dhbackend

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// Digest passes the records of directly announced backend servers of the own
// zone to other entry VMs, and takes those that others pass on. It is a
// dhmember.Payload; its methods may be called from any goroutine. Zero bounds
// and periods take the defaults given here.
//
// Every VM asks every other in each period of the membership, or as many as
// MaxFanout allows, some of each zone, because at 9 entry VMs a random one
// alone leaves gaps longer than the lease. Records travel in answers only: the
// asker adds the duration of the exchange to their age, so that a message that
// was stuck never renews a lease.
//
// Records of a zone that has a single responsive entry VM left are also passed
// on by the VMs that got them from it: three lost exchanges in a row with that
// one VM would otherwise outlast the lease.
//
// With Sources, a VM asks only one of those, of its own zone if there is one,
// and a second one while the first gives no answer. A source with more than
// WholeBackends records sends each VM a subset.
type Digest struct {
	Timers dhtimer.Service
	// Name and Zone are those of this VM.
	Name, Zone string
	// Received is called with each record that others pass on. It must not block.
	Received func(b *Backend)
	// Sources are the names of the entry VMs that backend servers announce
	// themselves to, when not to all of their zone.
	Sources []string

	Lease         time.Duration // 2.5 s
	SourcePeriod  time.Duration // between questions to a source, 1 s
	MaxBackends   int           // records kept and taken from one message, 8192
	WholeBackends int           // records up to which each VM gets all, 64
	Near, Far     int           // above that: records per pool and version, of the asker's zone and of all others together, 2 and 1

	once    sync.Once
	mu      sync.Mutex
	direct  map[string]*Backend
	index   *index              // of direct, nil after a change
	lonely  map[string]bool     // zones with a single entry VM
	known   map[string]*Backend // bases of brief records
	nextAsk time.Time
	merged  time.Time // when records last arrived
	expired time.Time // when direct was last cleaned
	swept   time.Time // when expired bases were last removed
}

// fullEvery is the number of announcements of which one is passed on whole
// and the others without what does not change, when subsets are sent.
const fullEvery = 5

func (d *Digest) init() {
	d.once.Do(func() {
		d.Lease = cmp.Or(d.Lease, 2500*time.Millisecond)
		d.SourcePeriod = cmp.Or(d.SourcePeriod, time.Second)
		d.MaxBackends = cmp.Or(d.MaxBackends, 8192)
		d.WholeBackends = cmp.Or(d.WholeBackends, 64)
		d.Near, d.Far = cmp.Or(d.Near, 2), cmp.Or(d.Far, 1)
		d.direct = make(map[string]*Backend)
		d.known = make(map[string]*Backend)
	})
}

// Announced takes an announcement that a backend server sent to this VM, which
// it keeps. Records of other zones, malformed ones and older ones than the
// known one are ignored, and new ones when MaxBackends are kept. A source
// takes those of all zones.
func (d *Digest) Announced(r *dhpb.BackendRecord) {
	d.init()
	now := d.Timers.Now()
	b, err := FromRecord(r, now)
	if err != nil || b.Zone != d.Zone && !slices.Contains(d.Sources, d.Name) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.direct[b.ID]
	if known && !newer(b, old) {
		return
	}
	if !known && len(d.direct) >= d.MaxBackends {
		d.expire(now)
		if len(d.direct) >= d.MaxBackends {
			return
		}
	}
	d.direct[b.ID] = b
	if !known || b.Pool != old.Pool || b.Zone != old.Zone || !slices.Equal(b.Versions, old.Versions) {
		d.index = nil
	}
}

// expire removes records whose lease has ended, at most once in a lease.
func (d *Digest) expire(now time.Time) {
	if now.Sub(d.expired) < d.Lease {
		return
	}
	d.expired = now
	for id, b := range d.direct {
		if now.Sub(b.Seen) > d.Lease {
			delete(d.direct, id)
			d.index = nil
		}
	}
}

// Fill implements dhmember.Payload.
func (d *Digest) Fill(to dhmember.Member, msg *dhpb.GossipMessage) {
	d.init()
	now := d.Timers.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	if len(d.direct) <= d.WholeBackends {
		for _, b := range d.direct {
			d.add(msg, b, now, true)
		}
	} else {
		if d.index == nil {
			d.index = newIndex(slices.Collect(maps.Values(d.direct)))
		}
		for _, id := range d.index.subset(to.Name, to.Zone, d.Near, d.Far) {
			b := d.direct[id]
			d.add(msg, b, now, b.State == Leaving || b.Sequence%fullEvery == 0)
		}
	}
	if len(d.lonely) == 0 {
		return
	}
	for _, b := range d.known {
		if d.lonely[b.Zone] && b.Zone != to.Zone {
			d.add(msg, b, now, true)
		}
	}
}

// add adds a record whose lease has not ended to a message.
func (d *Digest) add(msg *dhpb.GossipMessage, b *Backend, now time.Time, full bool) {
	if now.Sub(b.Seen) <= d.Lease {
		msg.Backends = append(msg.Backends, passedOn(b, now, full))
	}
}

// passedOn returns a record to pass on; a brief one lacks what does not change
// while a backend server runs.
func passedOn(b *Backend, now time.Time, full bool) *dhpb.BackendRecord {
	r := &dhpb.BackendRecord{
		Id: b.ID, Incarnation: b.Incarnation, Sequence: b.Sequence, Running: int32(b.Running), Waiting: int32(b.Waiting),
		AnnouncementAge: durationpb.New(now.Sub(b.Seen)),
	}
	if b.ReportAge > 0 {
		r.ReportAge = durationpb.New(b.ReportAge)
	}
	if !full {
		return r
	}
	r.Address, r.Zone, r.Pool, r.State = b.Address, b.Zone, b.Pool, b.State.String()
	r.Slots, r.SustainableLoad, r.ChecksFencing = int32(b.Slots), int32(b.SustainableLoad), b.ChecksFencing
	for _, v := range b.Versions {
		r.Versions = append(r.Versions, &dhpb.LoadedVersion{Model: v.Model, Version: v.Name})
	}
	return r
}

// Merge implements dhmember.Payload.
func (d *Digest) Merge(msg *dhpb.GossipMessage) {
	d.init()
	if len(msg.GetBackends()) == 0 {
		return
	}
	now := d.Timers.Now()
	var list []*Backend
	d.mu.Lock()
	d.merged = now
	d.forget(now)
	for _, r := range msg.GetBackends()[:min(len(msg.GetBackends()), d.MaxBackends)] {
		if b := d.complete(r, now); b != nil && now.Sub(b.Seen) <= d.Lease {
			list = append(list, b)
		}
	}
	d.mu.Unlock()
	for _, b := range list {
		d.Received(b)
	}
}

// complete converts a record; a brief one needs an earlier whole one of the
// same incarnation. It returns nil when it cannot.
func (d *Digest) complete(r *dhpb.BackendRecord, now time.Time) *Backend {
	old := d.known[r.GetId()]
	if r.GetAddress() == "" {
		if old == nil || old.Incarnation != r.GetIncarnation() {
			return nil
		}
		b := *old
		b.Running, b.Waiting = int(r.GetRunning()), int(r.GetWaiting())
		b.ReportAge, b.Sequence = r.GetReportAge().AsDuration(), r.GetSequence()
		b.Seen = now.Add(-r.GetAnnouncementAge().AsDuration())
		if newer(&b, old) {
			d.known[b.ID] = &b
		}
		return &b
	}
	b, err := FromRecord(r, now)
	if err != nil {
		return nil
	}
	if old == nil && len(d.known) >= d.MaxBackends {
		return b
	}
	if old == nil || newer(b, old) {
		d.known[b.ID] = b
	}
	return b
}

// forget removes bases that have not been renewed for four leases.
func (d *Digest) forget(now time.Time) {
	if now.Sub(d.swept) < d.Lease {
		return
	}
	d.swept = now
	for id, b := range d.known {
		if now.Sub(b.Seen) > 4*d.Lease {
			delete(d.known, id)
		}
	}
}

// Targets implements dhmember.Targeter.
func (d *Digest) Targets(view *dhmember.View) []string {
	d.init()
	if len(d.Sources) == 0 {
		alive := view.Alive()
		d.findLonely(alive)
		return d.order(alive)
	}
	now := d.Timers.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextAsk) {
		return nil
	}
	// Half a period of the membership earlier, since ticks are not exact.
	d.nextAsk = now.Add(d.SourcePeriod * 3 / 4)
	var sources []dhmember.Member
	for _, name := range d.Sources {
		if m, ok := view.Get(name); ok && m.State <= dhmember.Suspect {
			sources = append(sources, m)
		}
	}
	count := 1
	if now.Sub(d.merged) > d.SourcePeriod*3/2 {
		count = 2
	}
	names := d.order(sources)
	return names[:min(len(names), count)]
}

// findLonely notes the other zones with a single member that is not suspected.
func (d *Digest) findLonely(alive []dhmember.Member) {
	counts := make(map[string]int)
	for i := range alive {
		if m := &alive[i]; m.State == dhmember.Alive && m.Zone != d.Zone {
			counts[m.Zone]++
		}
	}
	lonely := make(map[string]bool)
	for zone, count := range counts {
		if count == 1 {
			lonely[zone] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lonely = lonely
}

// order returns the names of other members: the first of each zone, the own
// zone's before, then the second of each, and so on. Within a zone they are
// in the order of their rendezvous weights, so that VMs ask different ones
// when there are more than may be asked.
func (d *Digest) order(list []dhmember.Member) []string {
	type candidate struct {
		name, zone string
		weight     uint64
		rank       int
	}
	own := xxhash.Sum64String(d.Name)
	candidates := make([]candidate, 0, len(list))
	for i := range list {
		if m := &list[i]; m.Name != d.Name {
			candidates = append(candidates, candidate{name: m.Name, zone: m.Zone, weight: rendezvous(own, xxhash.Sum64String(m.Name))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	ranks := make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		c.rank = 2 * ranks[c.zone]
		if c.zone != d.Zone {
			c.rank++
		}
		ranks[c.zone]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}
