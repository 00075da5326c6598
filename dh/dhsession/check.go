package dhsession

import (
	"fmt"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhtable"
)

const (
	// maxEditDelay is the time within which an accepted edit must take effect (R12).
	maxEditDelay = 2 * time.Second
	// maxExclusionDelay is the time after which a zone or backend server that went
	// out of service must get no new requests (R6, R10).
	maxExclusionDelay = 3 * time.Second
	// voterReadyTime is the time from the start of a voter until it may vote. It
	// first joins the other voters and reads back the state they hold about it.
	voterReadyTime = 2 * time.Second
	// tablesLeaseTime is how long a VM that does not reach a majority of voters may
	// keep using versions that are not stable.
	tablesLeaseTime = 3 * time.Second
)

// Check verifies the history against the invariants. It returns one line for each
// violation, which begins with the name of the invariant. It must be called after
// ExportBills, when no request is in progress.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{History: h, asked: make(map[string]*Reply), accepted: make(map[uint64]time.Time), sent: h.sentTimes()}
	for _, r := range h.Asked {
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
	slices.Sort(c.violations)
	return c.violations
}

// sentTimes returns the time at which the edit of each revision was first sent.
func (h *History) sentTimes() map[uint64]time.Time {
	sent := make(map[uint64]time.Time)
	for r, t := range h.tables {
		for _, e := range h.Edits {
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
	*History
	violations []string
	// asked maps each request id to one of its calls.
	asked map[string]*Reply
	// accepted maps each revision to the time at which operators first knew of it.
	accepted map[uint64]time.Time
	// sent maps each revision to the time at which its edit was first sent.
	sent map[uint64]time.Time
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// offset formats t as seconds since the start, as in the golden text.
func (c *checker) offset(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(c.start).Seconds()) }

// runningAt reports whether a VM is running at time t, and since when.
func (c *checker) runningAt(vm string, t time.Time) (since time.Time, up bool) {
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

// majorityAt reports whether a VM is running at time t and reaches a majority of
// the voters, counting only voters that have been running for at least ran.
func (c *checker) majorityAt(vm string, t time.Time, ran time.Duration) bool {
	if _, up := c.runningAt(vm, t); !up {
		return false
	}
	reached := 0
	for _, v := range c.voters {
		if since, up := c.runningAt(v, t); up && t.Sub(since) >= ran && c.connectedAt(vm, v, t) {
			reached++
		}
	}
	return reached > len(c.voters)/2
}

// majorityContact returns since when a VM has reached such a majority of voters
// without interruption. If ok is false, it has not reached one since that time.
func (c *checker) majorityContact(vm string, t time.Time, ran time.Duration) (since time.Time, ok bool) {
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
		if start, up := c.runningAt(vm, at); up && start.Equal(at) {
			break
		}
	}
	return since, ok
}

// inForce returns the tables that a VM may be using at time t, given that an edit
// takes effect within bound. Fresh reports whether the VM may still use versions
// that are not stable.
func (c *checker) inForce(vm string, t time.Time, bound time.Duration) (list []*dhtable.Tables, fresh bool) {
	// A voter may vote before voterReadyTime, so the lease may be renewed earlier.
	since, ok := c.majorityContact(vm, t, 0)
	fresh = ok || t.Sub(since) <= tablesLeaseTime
	since, ok = c.majorityContact(vm, t, voterReadyTime)
	// Edits accepted up to this time must have taken effect.
	known := t.Add(-bound)
	switch {
	case !ok:
		known = since.Add(-bound)
	case t.Sub(since) < bound:
		// The VM has regained contact only recently. It may still have the tables
		// from when it lost contact or, after a start, those of its peers.
		if before, had := c.majorityContact(vm, since.Add(-1), voterReadyTime); !had {
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

// checkVersions checks R1 and R2.
func (c *checker) checkVersions() {
	for _, x := range c.Executions {
		q, ok := c.asked[x.RequestID]
		if !ok {
			c.report("R7", "engine %s got request %s that nobody sent", x.Engine, x.RequestID)
			continue
		}
		list, fresh := c.inForce(x.VM, x.Sent, maxEditDelay)
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
			c.report("R2", "%s sent %s attempt %d to withdrawn %s at %s", x.VM, x.RequestID, x.Attempt, x.Version, c.offset(x.Sent))
		default:
			c.report("R1", "%s sent %s of %s to %s at %s", x.VM, x.RequestID, q.Account, x.Version, c.offset(x.Sent))
		}
	}
}

// checkSessions checks R3.
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
			c.report("R3", "session %s went from %s to %s with %s, moved=%t", r.Session, old, v, r.ID, r.Moved)
		}
		if old != v && !c.mayMove(r, old) {
			c.report("R3", "session %s left %s with %s while it was allowed", r.Session, old, r.ID)
		}
	}
}

// mayMove reports whether a session was allowed to leave its version during a call.
func (c *checker) mayMove(r *Reply, old dhtable.Version) bool {
	list, _ := c.inForce(r.VM, r.Start, maxEditDelay)
	for _, t := range list {
		pool := t.Pools[t.Routes[r.Route].Pool]
		if !t.Allowed(r.Account, r.Route, old) || pool.Models[old.Model].OnHold == dhtable.HoldAll {
			return true
		}
	}
	return false
}

// checkZones checks R6.
func (c *checker) checkZones() {
	for _, x := range c.Executions {
		list, _ := c.inForce(x.VM, x.Sent, maxExclusionDelay)
		out := len(list) > 0
		for _, t := range list {
			out = out && t.ZoneOut(x.Zone)
		}
		if out {
			c.report("R6", "%s sent %s to %s in zone %s at %s", x.VM, x.RequestID, x.Engine, x.Zone, c.offset(x.Sent))
		}
	}
}
