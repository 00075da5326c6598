package dhquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// simultaneous is the time within which the ends of several backend servers of a pool
	// count as one crash, as when their zone or rack loses power.
	simultaneous = 25 * time.Millisecond
	// endSlack is how much later than the first broken connection a run may seem to have
	// ended on a backend server that crashed, by the ages that VMs report.
	endSlack = 300 * time.Millisecond
)

// crash is the end of one or more backend servers of a pool at the same time.
type crash struct {
	pool     string
	at       time.Time
	backends []string
	// atWork holds since when attempts had been at work there, by fingerprint.
	atWork map[uint64][]time.Time
	// requests holds the requests with each part.
	requests map[uint64][]attemptID
}

// attemptID identifies an attempt: id is a hash of the request's id.
type attemptID struct{ fingerprint, id uint64 }

func (c *crash) add(o *observation, id uint64) {
	c.atWork[o.Fingerprint] = append(c.atWork[o.Fingerprint], o.at.Add(-o.ran))
	for _, part := range o.Parts {
		c.requests[part] = append(c.requests[part], attemptID{o.Fingerprint, id})
	}
}

// crashes returns the crashes of all pools in order of time.
func (n *Investigation) crashes() []*crash {
	ends := make(map[backendKey]*crash)
	for k, o := range n.requests {
		at, ok := n.ends[k.backend]
		if !ok || (o.ended && (at.Sub(o.at) > endedWithin || o.at.Sub(at) > endSlack)) {
			continue
		}
		c := ends[k.backend]
		if c == nil {
			c = &crash{
				pool: o.Pool, at: at, backends: []string{k.backend.id},
				atWork: make(map[uint64][]time.Time), requests: make(map[uint64][]attemptID),
			}
			ends[k.backend] = c
		}
		c.add(o, k.request)
	}
	var list []*crash
	for _, c := range ends {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), a.at.Compare(b.at), cmp.Compare(a.backends[0], b.backends[0]))
	})
	list = joinSimultaneous(list)
	slices.SortStableFunc(list, func(a, b *crash) int { return a.at.Compare(b.at) })
	return list
}

// joinSimultaneous joins crashes that follow the one before in their pool closely. A crash in
// which a request was at work that had been sent again since the first one stays apart, as it
// is evidence against that request, however soon it followed.
func joinSimultaneous(list []*crash) []*crash {
	var joined []*crash
	for i, c := range list {
		if i == 0 || c.pool != list[i-1].pool || c.at.Sub(list[i-1].at) > simultaneous || c.repeats(joined[len(joined)-1]) {
			joined = append(joined, c)
			continue
		}
		last := joined[len(joined)-1]
		last.backends = append(last.backends, c.backends...)
		for fingerprint, since := range c.atWork {
			last.atWork[fingerprint] = append(last.atWork[fingerprint], since...)
		}
		for id, requests := range c.requests {
			last.requests[id] = append(last.requests[id], requests...)
		}
	}
	return joined
}

// repeats reports whether a request that was at work in an earlier crash was sent after it and
// was at work in c.
func (c *crash) repeats(earlier *crash) bool {
	for fingerprint, since := range c.atWork {
		_, again := earlier.atWork[fingerprint]
		if again && slices.ContainsFunc(since, func(t time.Time) bool { return !t.Before(earlier.at) }) {
			return true
		}
	}
	return false
}

// explained reports whether a request with a quarantined cause was at work in a crash.
func (n *Investigation) explained(c *crash, now time.Time) bool {
	inForce := func(cause Cause) bool {
		v, ok := n.verdicts.Get(cause)
		return ok && v.InForce(now)
	}
	for id := range c.requests {
		if inForce(Cause{Pool: c.pool, ID: id}) {
			return true
		}
	}
	for fingerprint := range c.atWork {
		if inForce(Cause{Kind: WholeRequest, ID: fingerprint}) {
			return true
		}
	}
	return false
}

// charge is the evidence against a cause.
type charge struct {
	cause Cause
	// in holds the indexes of the crashes, requests is the number of different requests
	// with the cause that were at work.
	in       []int
	requests int
	backends []string
	// convicted is set if the cause was in quarantine before.
	convicted bool
	// byChance is the expected number of harmless requests with such evidence; it is
	// computed for whole requests.
	byChance float64
	// proved is set if the evidence suffices for a verdict.
	proved bool
}

// settled reports whether a crash is no further evidence against a cause that is or was
// in quarantine.
func (n *Investigation) settled(cause Cause, at time.Time) bool {
	v, known := n.verdicts.Get(cause)
	return known && !at.After(v.settles())
}

// wasConvicted reports whether a cause was in quarantine before.
func (n *Investigation) wasConvicted(cause Cause) bool {
	v, known := n.verdicts.Get(cause)
	return known && !v.Lifted
}
