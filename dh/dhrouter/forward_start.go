package dhrouter

import (
	"context"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// startWait is how long a request waits on a VM that has just started for
	// tables and backend servers, which come within a period of announcements;
	// a refused caller would return to the same state.
	startWait = 1500 * time.Millisecond
	// startPeriod is the time after the start in which requests wait, and
	// startPoll the time between two looks.
	startPeriod = 4 * time.Second
	startPoll   = 50 * time.Millisecond
	// partialWait is how long after its first backend servers such a VM lets
	// requests wait for others: about half of a period of announcements. After a
	// loss of all VMs, the first few that announced themselves were overrun, and
	// requests were refused while most were free.
	partialWait = 600 * time.Millisecond
	// partialPart is the part of its wanted time that a request waits for others
	// at most. An answer that is wanted within 300 ms is late after partialWait.
	partialPart = 0.3
)

// awaitStart waits on a VM that has just started until it can serve the
// request, for a bounded time.
func (f *forward) awaitStart(ctx context.Context) {
	r, m := f.router, f.message
	for {
		waited := r.Timers.Now().Sub(f.received)
		if f.canStart(r.Snapshot(), waited) {
			return
		}
		if r.since(&r.started) > startPeriod || waited >= startWait || (m.Left > 0 && waited >= m.Left/2) {
			return
		}
		if dhtimer.Sleep(ctx, r.Timers, startPoll) != nil {
			return
		}
	}
}

// canStart reports whether the tables are known, and, if the request has a
// route, whether its key can be checked and its pool has a backend server that
// may be used; for a while not with the first ones, while others may be missing.
func (f *forward) canStart(s *Snapshot, waited time.Duration) bool {
	if s.Tables == nil {
		return false
	}
	route, ok := s.Tables.Find(f.message.Host, f.message.Path)
	if !ok {
		return true
	}
	if !route.Public && f.router.Lease != nil && !f.router.Lease.Valid() {
		return false
	}
	if !usable(s, route.Target(0)) {
		return false
	}
	return !s.Partial || waited >= mostPartialWait(route) || f.router.since(&f.router.firstBackends) >= partialWait
}

// usable reports whether a pool has a backend server in a zone that is not out.
func usable(s *Snapshot, pool string) bool {
	return slices.ContainsFunc(s.Backends.Pool(pool), func(b *dhbackend.Backend) bool {
		weight, reduced := s.ZoneWeight[b.Zone]
		return b.State != dhbackend.Leaving && (!reduced || weight > 0)
	})
}

// mostPartialWait returns how long a request of a route waits for more backend
// servers at most.
func mostPartialWait(route *dhtable.Route) time.Duration {
	if route.Objective <= 0 {
		return partialWait
	}
	return time.Duration(partialPart * float64(route.Objective))
}
