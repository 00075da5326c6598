package dhrouter

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRecentSends bounds the number of sends in one generation.
const maxRecentSends = 2048

// recentSends records the newest sends, so that a log line tells of a request that reaches
// an address again, also when its caller comes back with the same id. The zero value is
// ready to use. It is safe for concurrent use.
type recentSends struct {
	mu                sync.Mutex
	current, previous map[uint64]recentSend
}

type recentSend struct {
	connection Connection
	// received is when the request came from its caller, seen when its answer, or the lack
	// of one, was known.
	received, seen time.Time
}

// put records a send and returns the one before of the same request to the same address.
func (r *recentSends) put(account, id, address string, s recentSend) (before recentSend, found bool) {
	key := xxhash.Sum64String(account + "\x00" + id + "\x00" + address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, found = r.current[key]; !found {
		before, found = r.previous[key]
	}
	if r.current == nil || len(r.current) >= maxRecentSends {
		r.previous, r.current = r.current, make(map[uint64]recentSend)
	}
	r.current[key] = s
	return before, found
}
