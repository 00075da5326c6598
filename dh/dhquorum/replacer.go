package dhquorum

import (
	"cmp"
	"slices"
	"time"
)

// DefaultReplaceAfter is how long a voter is unresponsive before it is replaced.
const DefaultReplaceAfter = 10 * time.Minute

// Replacer decides on a tick whether a voter must be replaced. All VMs may
// decide at once: the register of the voter set lets one change through.
type Replacer struct {
	// After is how long a voter is unresponsive before it is replaced; 0 means 10 min.
	After time.Duration

	since map[string]time.Time
}

// Decision is a change of the voter set.
type Decision struct {
	// Abort ends the replacement in progress, because its new voter is unresponsive.
	Abort bool
	// Old is the identity of the voter to replace by New.
	Old string
	New Member
}

// Tick returns what to do now. Spares are VMs that have a disk and answer,
// with the identities of their voters. Times are of this VM's clock only.
func (r *Replacer) Tick(now time.Time, set VoterSet, responsive func(id string) bool, spares []Member) (Decision, bool) {
	lost := r.lost(now, set, responsive, cmp.Or(r.After, DefaultReplaceAfter))
	if m, joint := set.Joining(); joint {
		return Decision{Abort: true}, slices.Contains(lost, m.ID)
	}
	if len(lost) == 0 {
		return Decision{}, false
	}
	old := set.Voters[indexOf(set.Voters, lost[0])]
	spare, ok := bestSpare(set, old, spares)
	return Decision{Old: old.ID, New: spare}, ok
}

// lost returns the voters that have been unresponsive for long, in set order.
func (r *Replacer) lost(now time.Time, set VoterSet, responsive func(id string) bool, after time.Duration) []string {
	since := make(map[string]time.Time)
	var lost []string
	for _, m := range set.Members() {
		if responsive(m.ID) {
			continue
		}
		start, ok := r.since[m.ID]
		if !ok {
			start = now
		}
		since[m.ID] = start
		if now.Sub(start) >= after {
			lost = append(lost, m.ID)
		}
	}
	r.since = since
	return lost
}

// bestSpare prefers the zone with the fewest remaining voters, then the zone
// of the old voter, then the lowest address.
func bestSpare(set VoterSet, old Member, spares []Member) (Member, bool) {
	inZone := make(map[string]int)
	for _, m := range set.Voters {
		if m.ID != old.ID {
			inZone[m.Zone]++
		}
	}
	usable := slices.DeleteFunc(slices.Clone(spares), func(m Member) bool { return m.ID == "" || set.Contains(m.ID) })
	if len(usable) == 0 {
		return Member{}, false
	}
	otherZone := func(m Member) int {
		if m.Zone == old.Zone {
			return 0
		}
		return 1
	}
	return slices.MinFunc(usable, func(a, b Member) int {
		return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
			cmp.Compare(otherZone(a), otherZone(b)), cmp.Compare(a.Address, b.Address))
	}), true
}
