package dhgrant

import (
	"sync"
	"sync/atomic"

	"dandelionhoist.example/dh/dhtimer"
)

// Shares tracks the rate limits of backend servers on one entry VM. Its exported
// fields are set before use. It is safe for use by several goroutines.
type Shares struct {
	Timers dhtimer.Service

	// count is the number of known limits, so that requests take no lock while
	// there are none.
	count  atomic.Int32
	mu     sync.Mutex
	limits Limits
}

// Observe records the limit that an answer of a backend server stated, or that it
// stated none, and reports what changed.
func (s *Shares) Observe(id string, incarnation uint64, o Observation) Change {
	if !o.Limit.Stated && s.count.Load() == 0 {
		return Unchanged
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateCount()
	return s.limits.Observe(id, incarnation, o, s.Timers.Now())
}

func (s *Shares) updateCount() { s.count.Store(int32(len(s.limits.byBackend))) }
