package dhquorum

import (
	"cmp"
	"slices"
	"time"
)

// DefaultReplaceAfter is how long a voter is unresponsive before it is replaced.
const DefaultReplaceAfter = 10 * time.Minute

// Replacer decides at each tick whether a voter must be replaced. Several VMs
// may decide at once: the register of the voter set accepts only one change.
type Replacer struct {
	// After is how long a voter is unresponsive before it is replaced; 0 means 10 min.
	After time.Duration

	unresponsiveSince map[string]time.Time
}

// Decision is a change of the voter set.
type Decision struct {
	// Abort ends the replacement in progress, because its new voter is unresponsive.
	Abort bool
	// Old is the identity of the voter to replace by New.
	Old string
	New Member
}

// Tick returns the change to make now, if any. Spares are responsive VMs with a
// disk, with the identities of their voters. All times are from this VM's clock.
func (r *Replacer) Tick(now time.Time, set VoterSet, responsive func(id string) bool, spares []Member) (Decision, bool) {
	unresponsive := r.unresponsive(now, set, responsive, cmp.Or(r.After, DefaultReplaceAfter))
	if m, joint := set.Joining(); joint {
		return Decision{Abort: true}, slices.Contains(unresponsive, m.ID)
	}
	if len(unresponsive) == 0 {
		return Decision{}, false
	}
	old := set.Voters[indexOf(set.Voters, unresponsive[0])]
	spare, ok := bestSpare(set, old, spares)
	return Decision{Old: old.ID, New: spare}, ok
}

// unresponsive returns the voters that have been unresponsive for at least after, in set order.
func (r *Replacer) unresponsive(now time.Time, set VoterSet, responsive func(id string) bool, after time.Duration) []string {
	since := make(map[string]time.Time)
	var unresponsive []string
	for _, m := range set.Members() {
		if responsive(m.ID) {
			continue
		}
		start, ok := r.unresponsiveSince[m.ID]
		if !ok {
			start = now
		}
		since[m.ID] = start
		if now.Sub(start) >= after {
			unresponsive = append(unresponsive, m.ID)
		}
	}
	r.unresponsiveSince = since
	return unresponsive
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
