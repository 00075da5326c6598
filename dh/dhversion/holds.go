package dhversion

import (
	"dandelionhoist.example/dh/dhtable"
)

// maxHistory is the number of revisions searched for the start of a rollout.
// Older revisions are compacted.
const maxHistory = 100

// versionKey identifies a version in a pool.
type versionKey struct {
	pool    string
	version dhtable.Version
}

// rolloutStart is the revision at which a rollout began. If the known history is
// too short, exact is false and the rollout began at this revision or earlier.
type rolloutStart struct {
	revision uint64
	exact    bool
}

// Holds is an immutable set of rollouts on hold. A nil *Holds is an empty set.
type Holds struct {
	held map[versionKey]bool
}

// Held reports whether the current rollout of a version is on hold.
func (h *Holds) Held(pool string, v dhtable.Version) bool {
	return h != nil && h.held[versionKey{pool, v}]
}

// covers reports whether a hold of the given revision applies to the rollout.
// All revisions since the start belong to the same rollout. If the start is not
// known exactly, every hold applies, because serving a bad version does more harm
// than delaying a good one.
func (b rolloutStart) covers(revision uint64) bool { return !b.exact || revision >= b.revision }

// rollouts tracks the revision at which each rollout in the tables began.
type rollouts struct {
	tables *dhtable.Tables
	starts map[versionKey]rolloutStart
}

// observe applies newer tables, or the same tables again once more of the history
// is available, and reports whether it applied them. Fetch returns an older
// revision and may be nil.
func (r *rollouts) observe(t *dhtable.Tables, fetch func(revision uint64) (*dhtable.Tables, bool)) bool {
	if t == nil || (r.tables != nil && t.Revision < r.tables.Revision) {
		return false
	}
	cache := make(map[uint64]*dhtable.Tables)
	older := func(revision uint64) (*dhtable.Tables, bool) {
		if c, ok := cache[revision]; ok {
			return c, c != nil
		}
		if fetch == nil {
			return nil, false
		}
		c, ok := fetch(revision)
		if !ok {
			c = nil
		}
		cache[revision] = c
		return c, c != nil
	}
	next := make(map[versionKey]rolloutStart)
	for pool, p := range t.Pools {
		for _, m := range p.Models {
			for _, e := range m.Versions {
				if e.Stage == dhtable.Rollout {
					k := versionKey{pool, e.Version}
					next[k] = r.find(t.Revision, k, older)
				}
			}
		}
	}
	r.tables, r.starts = t, next
	return true
}

func (r *rollouts) find(revision uint64, k versionKey, older func(uint64) (*dhtable.Tables, bool)) rolloutStart {
	for n := revision; ; n-- {
		if r.tables != nil && n == r.tables.Revision {
			if b, ok := r.starts[k]; ok && b.exact {
				return b
			}
		}
		if n <= 1 {
			return rolloutStart{n, true}
		}
		t, ok := older(n - 1)
		if !ok && r.tables != nil && n-1 == r.tables.Revision {
			t, ok = r.tables, true
		}
		if !ok || revision-n >= maxHistory {
			return r.atLeast(n, k)
		}
		if e, found := t.Entry(k.pool, k.version); !found || e.Stage != dhtable.Rollout {
			return rolloutStart{n, true}
		}
	}
}

// atLeast returns an inexact start: the earliest revision at which the rollout is
// known to exist.
func (r *rollouts) atLeast(n uint64, k versionKey) rolloutStart {
	if b, ok := r.starts[k]; ok && r.tables != nil && n <= r.tables.Revision {
		return rolloutStart{min(n, b.revision), false}
	}
	return rolloutStart{n, false}
}
