package dhlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiters bounds the requests that wait on this VM for room in a pool. The smallest
	// VM has 112 MB; a waiting request holds its body, of about 50 KB for a long prompt.
	maxWaiters = 32
	// maxRoomWait is the longest time for which a request waits: one period of the sums,
	// which tell whether there is room, and their spread.
	maxRoomWait = 400 * time.Millisecond
	// minRoomWait is the shortest useful wait; in less time no new sums arrive.
	minRoomWait = 100 * time.Millisecond
	// roomWaitFraction is the part of the time left until the answer is late that a request
	// may wait here; the rest is for the backend server.
	roomWaitFraction = 0.25
)

// Waiter is a request over the share of its account that waits for room in its pool.
type Waiter struct {
	pool string
	rank int
	rate float64
	late time.Time
	done chan struct{}
}

// Passed returns a channel that is closed when the request may be sent.
func (w *Waiter) Passed() <-chan struct{} { return w.done }

// Waiters holds the requests that wait for room. The zero value is ready to use. It is
// safe for use by several goroutines.
type Waiters struct {
	mu   sync.Mutex
	list []*Waiter
}

// RoomWait returns for how long a request may wait whose answer is late after a time; 0 if
// waiting is of no use.
func RoomWait(untilLate time.Duration) time.Duration {
	d := min(maxRoomWait, time.Duration(roomWaitFraction*float64(untilLate)))
	if d < minRoomWait {
		return 0
	}
	return d
}

// Add lets a request with a pass rate wait, unless the slots that are expected to become
// free for this VM within the wait are needed by requests ahead of it. vms is the number
// of entry VMs.
func (l *Waiters) Add(v *Verdict, pool string, rank int, rate float64, now time.Time, wait, untilLate time.Duration, vms int) (*Waiter, bool) {
	w := &Waiter{pool: pool, rank: rank, rate: rate, late: now.Add(untilLate), done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := 0
	for _, other := range l.list {
		if other.pool == pool && compareWaiters(other, w) <= 0 {
			ahead++
		}
	}
	freed := float64(v.Totals.Slots) * float64(wait) / float64(max(v.Hold, 1)) / float64(max(vms, 1))
	if len(l.list) >= maxWaiters || float64(ahead+1) > freed {
		return nil, false
	}
	l.list = append(l.list, w)
	return w, true
}

// compareWaiters orders waiting requests: urgent ranks first, then accounts that are
// the least over their share, then those that are late first.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.rate, a.rate), a.late.Compare(b.late))
}

// Remove ends the wait of a request and reports whether it had not passed.
func (l *Waiters) Remove(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.list, w)
	if i < 0 {
		return false
	}
	l.list = slices.Delete(l.list, i, i+1)
	return true
}

// Grant lets up to n requests to a pool pass.
func (l *Waiters) Grant(pool string, n int) (passed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.list, compareWaiters)
	l.list = slices.DeleteFunc(l.list, func(w *Waiter) bool {
		if w.pool != pool || passed >= n {
			return false
		}
		passed++
		close(w.done)
		return true
	})
	return passed
}

// Pools returns the pools for which requests wait.
func (l *Waiters) Pools() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pools []string
	for _, w := range l.list {
		if !slices.Contains(pools, w.pool) {
			pools = append(pools, w.pool)
		}
	}
	return pools
}

// Room returns how many more requests this VM may send to a pool with totals, with the
// random number draw in [0, 1): its part of the slots that neither run a request nor are
// meant for one that waits. v is nil if the pool is not busy.
func Room(t PoolTotals, v *Verdict, vms int, draw float64) int {
	wanted := float64(t.Slots)
	if v != nil && v.Contended {
		wanted *= v.Target
	}
	return int(max(wanted-float64(t.Running), 0)/float64(max(vms, 1)) + draw)
}
