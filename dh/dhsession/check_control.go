package dhsession

import (
	"time"

	"dandelionhoist.example/dh/dhcode"
)

// checkEdits checks R12. It also records when each revision was accepted.
func (c *checker) checkEdits() {
	byRevision := make(map[uint64]string)
	byID := make(map[string]uint64)
	for _, e := range c.Edits {
		if e.Code != dhcode.OK {
			continue
		}
		if id, ok := byRevision[e.Revision]; ok && id != e.ID {
			c.report("R12", "edits %s and %s were both accepted as revision %d", id, e.ID, e.Revision)
		}
		if r, ok := byID[e.ID]; ok && r != e.Revision {
			c.report("R12", "edit %s was accepted as revisions %d and %d", e.ID, r, e.Revision)
		}
		byRevision[e.Revision], byID[e.ID] = e.ID, e.Revision
		c.accept(e.Revision, e.At)
	}
	newest := make(map[string]revisionSample)
	for _, s := range c.revisionSamples {
		if s.revision > 0 {
			c.accept(s.revision, s.at)
		}
	}
	for _, s := range c.revisionSamples {
		since, _ := c.runningAt(s.vm, s.at)
		if old := newest[s.vm]; !old.at.Before(since) && s.revision < old.revision {
			c.report("R12", "%s went back from revision %d to %d at %s", s.vm, old.revision, s.revision, c.offset(s.at))
		}
		newest[s.vm] = s
		contact, ok := c.majorityContact(s.vm, s.at, voterReadyTime)
		if !ok {
			continue
		}
		for r, at := range c.accepted {
			if r > s.revision && s.at.Sub(at) > maxEditDelay && s.at.Sub(contact) > maxEditDelay {
				c.report("R12", "%s has revision %d at %s, %d was accepted at %s", s.vm, s.revision, c.offset(s.at), r, c.offset(at))
			}
		}
	}
}

func (c *checker) accept(revision uint64, at time.Time) {
	if old, ok := c.accepted[revision]; !ok || at.Before(old) {
		c.accepted[revision] = at
	}
}

// checkEngines checks R5 and R10.
func (c *checker) checkEngines() {
	for id, b := range c.engines {
		if peak, limit := b.Stats().ColdPeak, b.ColdStart.SustainableLoad; peak > limit {
			c.report("R5", "engine %s had %d requests at once in a cold start, it sustains %d", id, peak, limit)
		}
	}
	for _, x := range c.Executions {
		reason, since := "", time.Time{}
		for _, s := range c.outages {
			if s.engine == x.Engine && !s.at.After(x.Sent) {
				reason, since = s.reason, s.at
			}
		}
		if reason != "" && x.Sent.Sub(since) > maxExclusionDelay {
			c.report("R10", "%s sent %s to %s at %s, %s since %s", x.VM, x.RequestID, x.Engine, c.offset(x.Sent), reason, c.offset(since))
		}
		if !c.reachable(x.VM, x.Engine, x.Sent) {
			c.report("R10", "%s sent %s to %s at %s, which it has not reached for %s", x.VM, x.RequestID, x.Engine, c.offset(x.Sent), maxExclusionDelay)
		}
	}
}

// reachable reports whether a VM was connected to a backend server at any time
// from maxExclusionDelay before t until t.
func (c *checker) reachable(vm, engine string, t time.Time) bool {
	if c.connectedAt(vm, engine, t) || c.connectedAt(vm, engine, t.Add(-maxExclusionDelay)) {
		return true
	}
	for _, p := range c.partitions {
		if p.at.After(t.Add(-maxExclusionDelay)) && !p.at.After(t) && p.sides[vm] == p.sides[engine] {
			return true
		}
	}
	return false
}

// checkStops checks R11, and R10 for backend servers that have left.
func (c *checker) checkStops() {
	for _, s := range c.states {
		if s.event != vmStopping {
			continue
		}
		for _, r := range c.Replies {
			if r.VM != s.vm || r.Complete || r.DisconnectAfter > 0 || r.Start.After(s.at) || r.End.Before(s.at) || c.crashed(s.vm, s.at, r.End) {
				continue
			}
			if r.Lost || r.Code == dhcode.Cancelled || r.Code == dhcode.Leaving {
				c.report("R11", "%s was interrupted with %s by the stop of %s", r.ID, r.Code, r.VM)
			}
		}
	}
	for _, x := range c.Executions {
		if x.Refused && x.Code == dhcode.Leaving {
			c.report("R10", "%s sent %s to %s, which had left", x.VM, x.RequestID, x.Engine)
		}
	}
}

func (c *checker) crashed(vm string, from, to time.Time) bool {
	for _, s := range c.states {
		if s.vm == vm && s.event == vmCrashed && !s.at.Before(from) && !s.at.After(to) {
			return true
		}
	}
	return false
}
