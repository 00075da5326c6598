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
	// maxStartupWait bounds how long a request on a newly started VM waits for
	// tables and backend servers. They arrive within one announcement period; a
	// refused caller would retry against the same state.
	maxStartupWait = 1500 * time.Millisecond
	// startupPeriod is the time after the start during which requests wait, and
	// startupPollInterval the interval between two checks of the snapshot.
	startupPeriod       = 4 * time.Second
	startupPollInterval = 50 * time.Millisecond
	// partialViewWait is how long after the first known backend servers requests
	// wait for more of them: about half an announcement period. Without it, after a
	// loss of all VMs, the first few backend servers to announce themselves were
	// overloaded and requests were refused while most backend servers were idle.
	partialViewWait = 600 * time.Millisecond
	// partialWaitFraction is the largest fraction of a request's objective that it
	// may wait for more backend servers. An answer with an objective of 300 ms
	// would be late after partialViewWait.
	partialWaitFraction = 0.3
)

// waitForStartup blocks on a newly started VM until it can serve the request,
// for a bounded time.
func (f *forward) waitForStartup(ctx context.Context) {
	r, m := f.router, f.message
	for {
		waited := r.Timers.Now().Sub(f.received)
		if f.canServe(r.Snapshot(), waited) {
			return
		}
		if r.since(&r.started) > startupPeriod || waited >= maxStartupWait || (m.TimeLeft > 0 && waited >= m.TimeLeft/2) {
			return
		}
		if dhtimer.Sleep(ctx, r.Timers, startupPollInterval) != nil {
			return
		}
	}
}

// canServe reports whether the tables are known and, if the request matches a
// route, whether its key can be checked and its pool has a usable backend
// server. While the view is partial, it returns false for a limited time, so
// that the first known backend servers do not take all requests.
func (f *forward) canServe(s *Snapshot, waited time.Duration) bool {
	if s.Tables == nil {
		return false
	}
	route, ok := s.Tables.FindRoute(f.message.Host, f.message.Path)
	if !ok {
		return s.tablesFresh()
	}
	if !route.Public && !s.LeaseValid() {
		return false
	}
	if !hasUsableBackend(s, route.Target(0)) {
		return false
	}
	return !s.Partial || waited >= maxPartialWait(route) || f.router.since(&f.router.firstBackends) >= partialViewWait
}

// hasUsableBackend reports whether a pool has a backend server that is not
// leaving, in a zone whose weight is not 0.
func hasUsableBackend(s *Snapshot, pool string) bool {
	return slices.ContainsFunc(s.Backends.Pool(pool), func(b *dhbackend.Backend) bool {
		weight, reduced := s.ZoneWeight[b.Zone]
		return b.State != dhbackend.Leaving && (!reduced || weight > 0)
	})
}

// maxPartialWait returns the longest time that a request of a route waits for
// more backend servers.
func maxPartialWait(route *dhtable.Route) time.Duration {
	if route.Objective <= 0 {
		return partialViewWait
	}
	return time.Duration(partialWaitFraction * float64(route.Objective))
}
