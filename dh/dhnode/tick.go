package dhnode

import (
	"log/slog"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
)

// Tick updates all tables and publishes a snapshot. Only the control goroutine
// calls it.
func (n *Node) Tick(now time.Time) {
	n.backends.Expire(now)
	n.observeTables()
	for _, h := range n.Evidence.Tick() {
		n.Log.Warn("rollout on hold", slog.String("pool", h.GetPool()), slog.String("model", h.GetModel()),
			slog.String("version", h.GetVersion()), slog.Uint64("revision", h.GetRevision()))
	}
	n.Answers.Tick(now)
	n.tickMembers()
	n.publish(now)
	n.Limiter.Tick()
}

func (n *Node) observeTables() {
	newest := n.Revisions.Newest()
	if newest == nil {
		return
	}
	n.Evidence.Observe(newest.Tables, n.fetchTables)
	n.storeRates(newest.Tables)
}

// fetchTables returns the tables of an older revision if they are still stored.
func (n *Node) fetchTables(revision uint64) (*dhtable.Tables, bool) {
	m := n.Revisions.Fetch(revision)
	if !m.GetFound() || len(m.GetTables()) == 0 {
		return nil, false
	}
	t, err := dhtable.Parse("revision", m.GetTables())
	if err != nil {
		return nil, false
	}
	return t.WithRevision(revision), true
}

// publish builds the snapshot for request handling and the digest for gossip.
func (n *Node) publish(now time.Time) {
	s := &dhrouter.Snapshot{
		// Requests use this snapshot until the next tick, so the lease must last until then.
		LeaseExpired: !n.lease.Valid(now.Add(n.Settings.Timing.Tick.Std())),
		Backends:     n.backends.View(now), Holds: n.Evidence.Holds(), Leaving: n.leaving.Load(),
	}
	// Before the node has started, its revision may be older than that of its
	// peers, so the snapshot has no tables and requests are refused.
	if newest := n.Revisions.Newest(); newest != nil && n.started.Load() {
		s.Tables = newest.Tables
		s.ZoneWeight = n.zones.weights(newest.Tables, now)
	}
	// Slots are set before the snapshot is published, so that a request never
	// sees a backend server without its slots.
	n.setSlots(s)
	for _, prepare := range n.Prepare {
		prepare(now, s)
	}
	n.Router.Publish(s)
	n.storeDigest()
}

func (n *Node) storeDigest() {
	d := &digest{revision: n.Revisions.NewestNumber(), counters: n.Evidence.Counters(), holds: n.Evidence.HoldRecords()}
	for _, c := range d.counters {
		if c.GetVm() == n.Settings.Name {
			d.own = append(d.own, c)
		}
	}
	n.digest.Store(d)
}

func (n *Node) tickMembers() {
	change := dhmember.SelfUpdate{Revision: n.Revisions.NewestNumber(), InFlight: n.Answers.Running()}
	if n.VoterStatus != nil {
		change.VoterID, change.VoterSequence = n.VoterStatus()
	}
	n.Members.SetSelf(change)
}

// setSlots sets the limiter's share of each pool's slots for this VM.
func (n *Node) setSlots(s *dhrouter.Snapshot) {
	view := n.Members.View()
	known := slices.DeleteFunc(slices.Clone(view.All()), func(m dhmember.Member) bool { return m.State == dhmember.Left })
	rank := slices.IndexFunc(known, func(m dhmember.Member) bool { return m.Name == view.Self.Name })
	alive := len(view.Alive())
	n.Limiter.SetMembers(dhlimit.Members{Alive: alive, Known: len(known), Rank: max(rank, 0)})
	if s.Tables == nil {
		return
	}
	for pool := range s.Tables.Pools {
		n.Limiter.SetSlots(pool, slotShare(s, pool, alive))
	}
}

// slotHeadroom is the factor by which the sum of the VMs' slot shares exceeds a
// pool's slots, since requests are not spread evenly over the entry VMs.
const slotHeadroom = 1.5

// slotShare returns this VM's share of the slots of a pool's backend servers.
func slotShare(s *dhrouter.Snapshot, pool string, alive int) int {
	sum := 0.0
	for _, b := range s.Backends.Pool(pool) {
		n := b.Slots
		if b.State == dhbackend.Cold {
			n = min(n, b.SustainableLoad)
		}
		sum += float64(n) * zoneWeight(s, b.Zone)
	}
	if sum == 0 {
		return 0
	}
	return max(1, int(sum*slotHeadroom/float64(max(alive, 1))))
}

func zoneWeight(s *dhrouter.Snapshot, zone string) float64 {
	if w, ok := s.ZoneWeight[zone]; ok {
		return w
	}
	return 1
}

// zoneRamp gradually raises the weight of zones that return to service.
type zoneRamp struct {
	// restoredAt is the time at which a zone returned to service.
	restoredAt map[string]time.Time
	out        map[string]bool
}

// rampTime is how long a zone takes to reach its full weight: 10% more each second.
const rampTime = 10 * time.Second

func (z *zoneRamp) weights(t *dhtable.Tables, now time.Time) map[string]float64 {
	if z.out == nil {
		z.out, z.restoredAt = make(map[string]bool), make(map[string]time.Time)
	}
	weights := make(map[string]float64, len(t.Zones))
	for name, zone := range t.Zones {
		switch {
		case zone.OutOfService:
			z.out[name] = true
			weights[name] = 0
		case z.out[name]:
			delete(z.out, name)
			z.restoredAt[name] = now
			weights[name] = 0.1
		default:
			weights[name] = z.weight(name, now)
		}
	}
	return weights
}

func (z *zoneRamp) weight(name string, now time.Time) float64 {
	back, ok := z.restoredAt[name]
	if !ok {
		return 1
	}
	if now.Sub(back) >= rampTime {
		delete(z.restoredAt, name)
		return 1
	}
	return 0.1 + 0.9*float64(now.Sub(back))/float64(rampTime)
}
