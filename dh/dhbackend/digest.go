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

// Digest gossips the records of backend servers that announced themselves to
// this VM to other entry VMs, and receives the records that others gossip. It is
// a dhmember.Payload and safe for concurrent use. Bounds and periods that are
// zero take the defaults given at the fields.
//
// In each gossip period, every VM asks every other VM, or as many as MaxFanout
// allows with some of each zone. With 9 entry VMs, asking a single random one
// leaves gaps longer than the lease. Records are sent only in answers: the asker
// adds the duration of the exchange to their age, so that a delayed message
// never renews a lease.
//
// Records of a zone with a single responsive entry VM are also forwarded by the
// VMs that received them from it. Otherwise three consecutive lost exchanges
// with that VM would outlast the lease.
//
// If Sources is set, a VM asks only one source, in its own zone if there is one,
// and additionally a second one while the first does not answer. A source with
// more than WholeBackends records sends each VM a subset.
type Digest struct {
	Timers dhtimer.Service
	// Name and Zone are the name and the availability zone of this VM.
	Name, Zone string
	// Received is called with each record received by gossip. It must not block.
	Received func(b *Backend)
	// Sources are the names of the entry VMs that backend servers announce
	// themselves to; empty if they announce themselves to all entry VMs of their
	// zone.
	Sources []string

	Lease                         time.Duration // 2.5 s
	SourcePeriod                  time.Duration // interval between requests to a source, 1 s
	MaxBackends                   int           // maximum number of records stored, and of records accepted from one message, 8192
	WholeBackends                 int           // maximum number of records at which each VM is sent all of them, 64
	OwnZoneLimit, OtherZonesLimit int           // above that, records sent per pool and version: of the asker's zone, and of all other zones together, 2 and 1

	once          sync.Once
	mu            sync.Mutex
	direct        map[string]*Backend
	index         *index              // of direct; nil after a change
	singleVMZones map[string]bool     // zones with a single responsive entry VM
	received      map[string]*Backend // last received records, used to complete partial ones
	nextRequest   time.Time
	lastMerge     time.Time // when records were last received
	lastExpiry    time.Time // when expired records were last removed from direct
	lastPrune     time.Time // when old records were last removed from received
}

// fullRecordInterval is the number of announcements per full record if subsets
// are sent; the other announcements are sent as partial records.
const fullRecordInterval = 5

func (d *Digest) init() {
	d.once.Do(func() {
		d.Lease = cmp.Or(d.Lease, 2500*time.Millisecond)
		d.SourcePeriod = cmp.Or(d.SourcePeriod, time.Second)
		d.MaxBackends = cmp.Or(d.MaxBackends, 8192)
		d.WholeBackends = cmp.Or(d.WholeBackends, 64)
		d.OwnZoneLimit, d.OtherZonesLimit = cmp.Or(d.OwnZoneLimit, 2), cmp.Or(d.OtherZonesLimit, 1)
		d.direct = make(map[string]*Backend)
		d.received = make(map[string]*Backend)
	})
}

// Announced stores an announcement that a backend server sent to this VM. It
// ignores records that are malformed, not newer than the stored one, or of
// another zone, and new records if MaxBackends are stored. A source accepts
// records of all zones.
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

// expire removes records whose lease has ended. It runs at most once per lease.
func (d *Digest) expire(now time.Time) {
	if now.Sub(d.lastExpiry) < d.Lease {
		return
	}
	d.lastExpiry = now
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
		for _, id := range d.index.subset(to.Name, to.Zone, d.OwnZoneLimit, d.OtherZonesLimit) {
			b := d.direct[id]
			d.add(msg, b, now, b.State == Leaving || b.Sequence%fullRecordInterval == 0)
		}
	}
	if len(d.singleVMZones) == 0 {
		return
	}
	for _, b := range d.received {
		if d.singleVMZones[b.Zone] && b.Zone != to.Zone {
			d.add(msg, b, now, true)
		}
	}
}

// add appends a record to a message unless its lease has ended.
func (d *Digest) add(msg *dhpb.GossipMessage, b *Backend, now time.Time, full bool) {
	if now.Sub(b.Seen) <= d.Lease {
		msg.Backends = append(msg.Backends, gossipRecord(b, now, full))
	}
}

// gossipRecord returns the record of a backend server for a message. A partial
// record omits the fields that do not change while a backend server runs.
func gossipRecord(b *Backend, now time.Time, full bool) *dhpb.BackendRecord {
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
	d.lastMerge = now
	d.prune(now)
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

// complete converts a received record. A partial record is completed from an
// earlier one of the same incarnation. It returns nil if there is none or the
// record is malformed.
func (d *Digest) complete(r *dhpb.BackendRecord, now time.Time) *Backend {
	old := d.received[r.GetId()]
	if r.GetAddress() == "" {
		if old == nil || old.Incarnation != r.GetIncarnation() {
			return nil
		}
		b := *old
		b.Running, b.Waiting = int(r.GetRunning()), int(r.GetWaiting())
		b.ReportAge, b.Sequence = r.GetReportAge().AsDuration(), r.GetSequence()
		b.Seen = now.Add(-r.GetAnnouncementAge().AsDuration())
		if newer(&b, old) {
			d.received[b.ID] = &b
		}
		return &b
	}
	b, err := FromRecord(r, now)
	if err != nil {
		return nil
	}
	if old == nil && len(d.received) >= d.MaxBackends {
		return b
	}
	if old == nil || newer(b, old) {
		d.received[b.ID] = b
	}
	return b
}

// prune removes received records that have not been renewed for four leases.
func (d *Digest) prune(now time.Time) {
	if now.Sub(d.lastPrune) < d.Lease {
		return
	}
	d.lastPrune = now
	for id, b := range d.received {
		if now.Sub(b.Seen) > 4*d.Lease {
			delete(d.received, id)
		}
	}
}

// Targets implements dhmember.Targeter.
func (d *Digest) Targets(view *dhmember.View) []string {
	d.init()
	if len(d.Sources) == 0 {
		alive := view.Alive()
		d.updateSingleVMZones(alive)
		return d.order(alive)
	}
	now := d.Timers.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.nextRequest) {
		return nil
	}
	// Half a membership period before SourcePeriod ends, because gossip ticks are
	// not exact.
	d.nextRequest = now.Add(d.SourcePeriod * 3 / 4)
	var sources []dhmember.Member
	for _, name := range d.Sources {
		if m, ok := view.Get(name); ok && m.State <= dhmember.Suspect {
			sources = append(sources, m)
		}
	}
	count := 1
	if now.Sub(d.lastMerge) > d.SourcePeriod*3/2 {
		count = 2
	}
	names := d.order(sources)
	return names[:min(len(names), count)]
}

// updateSingleVMZones records the other zones that have a single alive member;
// suspected members do not count.
func (d *Digest) updateSingleVMZones(alive []dhmember.Member) {
	counts := make(map[string]int)
	for i := range alive {
		if m := &alive[i]; m.State == dhmember.Alive && m.Zone != d.Zone {
			counts[m.Zone]++
		}
	}
	zones := make(map[string]bool)
	for zone, count := range counts {
		if count == 1 {
			zones[zone] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.singleVMZones = zones
}

// order returns the names of the other members: the first of each zone, starting
// with this VM's zone, then the second of each zone, and so on. Within a zone
// they are sorted by rendezvous weight, so that different VMs ask different
// members if not all may be asked.
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
