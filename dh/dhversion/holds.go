package dhversion

import (
	"dandelionhoist.example/dh/dhtable"
)

// maxHistory is how many revisions are searched for the begin of a rollout;
// older ones are compacted.
const maxHistory = 100

// versionKey names a version in a pool.
type versionKey struct {
	pool    string
	version dhtable.Version
}

// began is the revision at which a rollout began. It is not exact when the
// history did not reach back far enough; the rollout then began there or before.
type began struct {
	revision uint64
	exact    bool
}

// Holds is an immutable set of rollouts on hold. A nil *Holds is empty.
type Holds struct {
	held map[versionKey]bool
}

// Held reports whether the current rollout of a version is on hold.
func (h *Holds) Held(pool string, v dhtable.Version) bool {
	return h != nil && h.held[versionKey{pool, v}]
}

// covers reports whether a hold of the given revision concerns the rollout.
// Revisions since the begin belong to the same rollout. Where the begin is
// unknown every hold counts, because a bad version is worse than a late one.
func (b began) covers(revision uint64) bool { return !b.exact || revision >= b.revision }

// rollouts finds out at which revision each rollout in the tables began.
type rollouts struct {
	tables *dhtable.Tables
	began  map[versionKey]began
}

// observe applies newer tables, or the same ones when more of the history has
// become available. Fetch returns an older revision and may be nil.
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
	next := make(map[versionKey]began)
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
	r.tables, r.began = t, next
	return true
}

func (r *rollouts) find(revision uint64, k versionKey, older func(uint64) (*dhtable.Tables, bool)) began {
	for n := revision; ; n-- {
		if r.tables != nil && n == r.tables.Revision {
			if b, ok := r.began[k]; ok && b.exact {
				return b
			}
		}
		if n <= 1 {
			return began{n, true}
		}
		t, ok := older(n - 1)
		if !ok && r.tables != nil && n-1 == r.tables.Revision {
			t, ok = r.tables, true
		}
		if !ok || revision-n >= maxHistory {
			return r.atLeast(n, k)
		}
		if e, found := t.Entry(k.pool, k.version); !found || e.Stage != dhtable.Rollout {
			return began{n, true}
		}
	}
}

// atLeast returns an inexact begin, the earliest that is known.
func (r *rollouts) atLeast(n uint64, k versionKey) began {
	if b, ok := r.began[k]; ok && r.tables != nil && n <= r.tables.Revision {
		return began{min(n, b.revision), false}
	}
	return began{n, false}
}
