package dhsession

import (
	"fmt"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhtable"
)

const (
	// editBound is when an accepted edit is in effect (R12).
	editBound = 2 * time.Second
	// outBound is when a zone or backend server that went out gets no new work (R6, R10).
	outBound = 3 * time.Second
	// voterTime is the time from the start of a voter until it may vote: it
	// first joins the others and collects what they remember of it.
	voterTime = 2 * time.Second
	// leaseTime is how long a VM without a majority of voters may use versions
	// that are not stable.
	leaseTime = 3 * time.Second
)

// Check compares the facts with the invariants and returns each violation as
// one line that begins with the invariant's name. It is called once nothing
// runs any more, after ExportBills.
func (f *Facts) Check() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &checker{Facts: f, asked: make(map[string]*Reply), accepted: make(map[uint64]time.Time), sent: f.sentTimes()}
	for _, r := range f.Asked {
		c.asked[r.ID] = r
	}
	c.checkEdits()
	c.checkVersions()
	c.checkSessions()
	c.checkZones()
	c.checkBills()
	c.checkAnswers()
	c.checkOutcomes()
	c.checkEngines()
	c.checkStops()
	slices.Sort(c.faults)
	return c.faults
}

// sentTimes returns when the edit of each revision was first sent.
func (f *Facts) sentTimes() map[uint64]time.Time {
	sent := make(map[uint64]time.Time)
	for r, t := range f.tables {
		for _, e := range f.Edits {
			if e.Text != string(t.Text()) {
				continue
			}
			if old, ok := sent[r]; !ok || e.Sent.Before(old) {
				sent[r] = e.Sent
			}
		}
	}
	return sent
}

type checker struct {
	*Facts
	faults []string
	// asked holds one call of each request id.
	asked map[string]*Reply
	// accepted is when the operators knew of a revision.
	accepted map[uint64]time.Time
	// sent is when the edit of a revision was first sent.
	sent map[uint64]time.Time
}

func (c *checker) fault(rule, format string, args ...any) {
	c.faults = append(c.faults, rule+": "+fmt.Sprintf(format, args...))
}

// offset is a time since the start, as in the golden text.
func (c *checker) offset(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(c.start).Seconds()) }

// upAt reports whether a VM runs at t, and since when.
func (c *checker) upAt(vm string, t time.Time) (since time.Time, up bool) {
	for _, s := range c.states {
		if s.vm != vm || s.at.After(t) {
			continue
		}
		switch s.event {
		case vmStarted:
			since, up = s.at, true
		case vmCrashed, vmEnded:
			up = false
		}
	}
	return since, up
}

func (c *checker) connectedAt(a, b string, t time.Time) bool {
	connected := true
	for _, p := range c.partitions {
		if !p.at.After(t) {
			connected = p.sides[a] == p.sides[b]
		}
	}
	return connected
}

// majorityAt reports whether a VM runs and reaches a majority of voters that
// have run for a time.
func (c *checker) majorityAt(vm string, t time.Time, ran time.Duration) bool {
	if _, up := c.upAt(vm, t); !up {
		return false
	}
	reached := 0
	for _, v := range c.voters {
		if since, up := c.upAt(v, t); up && t.Sub(since) >= ran && c.connectedAt(vm, v, t) {
			reached++
		}
	}
	return reached > len(c.voters)/2
}

// contact returns since when a VM has reached a majority of such voters without
// interruption, or, with ok unset, since when it has not.
func (c *checker) contact(vm string, t time.Time, ran time.Duration) (since time.Time, ok bool) {
	changes := []time.Time{c.start}
	for _, p := range c.partitions {
		changes = append(changes, p.at)
	}
	for _, s := range c.states {
		changes = append(changes, s.at, s.at.Add(ran))
	}
	slices.SortFunc(changes, time.Time.Compare)
	ok = c.majorityAt(vm, t, ran)
	since = t
	for _, at := range slices.Backward(changes) {
		if at.After(t) {
			continue
		}
		if c.majorityAt(vm, at, ran) != ok {
			break
		}
		since = at
		if start, up := c.upAt(vm, at); up && start.Equal(at) {
			break
		}
	}
	return since, ok
}

// inForce returns the tables that may be in force on a VM at t, and whether
// the VM may still use versions that are not stable.
func (c *checker) inForce(vm string, t time.Time, bound time.Duration) (list []*dhtable.Tables, fresh bool) {
	// A voter may vote before voterTime, so that the lease may still be renewed.
	since, ok := c.contact(vm, t, 0)
	fresh = ok || t.Sub(since) <= leaseTime
	since, ok = c.contact(vm, t, voterTime)
	// What was accepted before this time has taken effect.
	known := t.Add(-bound)
	switch {
	case !ok:
		known = since.Add(-bound)
	case t.Sub(since) < bound:
		// The VM is back since a moment; before that it knew what it knew when
		// the contact broke, or, after a start, what its peers know.
		if before, had := c.contact(vm, since.Add(-1), voterTime); !had {
			known = before.Add(-bound)
		}
	}
	oldest := uint64(0)
	for r, at := range c.accepted {
		if !at.After(known) {
			oldest = max(oldest, r)
		}
	}
	for r, tables := range c.tables {
		if r >= oldest && !c.sent[r].After(t) {
			list = append(list, tables)
		}
	}
	return list, fresh
}

// checkVersions is R1 and R2.
func (c *checker) checkVersions() {
	for _, x := range c.Executions {
		q, ok := c.asked[x.RequestID]
		if !ok {
			c.fault("R7", "engine %s got request %s that nobody sent", x.Engine, x.RequestID)
			continue
		}
		list, fresh := c.inForce(x.VM, x.Sent, editBound)
		allowed, withdrawn := false, true
		for _, t := range list {
			pool := t.Routes[q.Route].Pool
			e, _ := t.Entry(pool, x.Version)
			allowed = allowed || (t.Allowed(q.Account, q.Route, x.Version) && (fresh || e.Stage == dhtable.Stable))
			withdrawn = withdrawn && e.Stage == dhtable.Withdrawn
		}
		switch {
		case allowed:
		case withdrawn:
			c.fault("R2", "%s sent %s attempt %d to withdrawn %s at %s", x.VM, x.RequestID, x.Attempt, x.Version, c.offset(x.Sent))
		default:
			c.fault("R1", "%s sent %s of %s to %s at %s", x.VM, x.RequestID, q.Account, x.Version, c.offset(x.Sent))
		}
	}
}

// checkSessions is R3.
func (c *checker) checkSessions() {
	last := make(map[string]*Reply)
	replies := slices.Clone(c.Replies)
	slices.SortStableFunc(replies, func(a, b *Reply) int { return a.End.Compare(b.End) })
	for _, r := range replies {
		if r.Session == "" || !r.Complete || r.Replayed || r.Resumed {
			continue
		}
		v, _ := dhtable.ParseVersion(r.Version)
		key := r.Session + " " + v.Model
		before := last[key]
		last[key] = r
		if before == nil || !r.Start.After(before.End) {
			continue
		}
		old, _ := dhtable.ParseVersion(before.Version)
		if (old != v) != r.Moved {
			c.fault("R3", "session %s went from %s to %s with %s, moved=%t", r.Session, old, v, r.ID, r.Moved)
		}
		if old != v && !c.mayMove(r, old) {
			c.fault("R3", "session %s left %s with %s while it was allowed", r.Session, old, r.ID)
		}
	}
}

// mayMove reports whether a session could lose a version during a call.
func (c *checker) mayMove(r *Reply, old dhtable.Version) bool {
	list, _ := c.inForce(r.VM, r.Start, editBound)
	for _, t := range list {
		pool := t.Pools[t.Routes[r.Route].Pool]
		if !t.Allowed(r.Account, r.Route, old) || pool.Models[old.Model].OnHold == dhtable.HoldAll {
			return true
		}
	}
	return false
}

// checkZones is R6.
func (c *checker) checkZones() {
	for _, x := range c.Executions {
		list, _ := c.inForce(x.VM, x.Sent, outBound)
		out := len(list) > 0
		for _, t := range list {
			out = out && t.ZoneOut(x.Zone)
		}
		if out {
			c.fault("R6", "%s sent %s to %s in zone %s at %s", x.VM, x.RequestID, x.Engine, x.Zone, c.offset(x.Sent))
		}
	}
}
