package dhengine

import (
	"container/list"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

// prefixCache is an LRU set of prompt blocks, each named by the hash of the
// prefix that ends with it.
type prefixCache struct {
	limit  int
	recent *list.List // of uint64, the most recently used first
	rows   map[uint64]*list.Element
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, recent: list.New(), rows: make(map[uint64]*list.Element)}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.rows[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// add puts blocks in, the last block as the least recent one, so that a
// prefix is never evicted before its extensions. It calls changed per change.
func (c *prefixCache) add(hashes []uint64, changed func(hash uint64, removed bool)) {
	for i := min(len(hashes), c.limit) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, ok := c.rows[h]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.rows[h] = c.recent.PushFront(h)
		changed(h, false)
	}
	for c.recent.Len() > c.limit {
		h := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.rows, h)
		changed(h, true)
	}
}

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1 << 14

// eventLog keeps cache events until they are due. Lost events leave gaps in
// the sequence.
type eventLog struct {
	rows []loggedEvent
	next uint64
	last time.Time
}

type loggedEvent struct {
	due   time.Time
	event *dhpb.CacheEvent
}

func (l *eventLog) add(due time.Time, hash uint64, removed, lost bool) {
	l.next++
	if lost {
		return
	}
	if due.Before(l.last) {
		due = l.last
	}
	l.last = due
	if len(l.rows) >= maxEvents {
		l.rows = append(l.rows[:0], l.rows[maxEvents/4:]...)
	}
	l.rows = append(l.rows, loggedEvent{due: due, event: &dhpb.CacheEvent{Sequence: l.next, PrefixHash: hash, Removed: removed}})
}

func (m *Model) addToCache(r *request, now time.Time) {
	m.cache.add(r.hashes, func(hash uint64, removed bool) {
		delay := scale(m.EventDelay, 0.5+m.rng.Float64())
		m.events.add(now.Add(delay), hash, removed, m.rng.Float64() < m.EventLoss)
	})
}

// CacheEvents returns up to limit due events after a sequence number. Numbers
// that are missing were lost.
func (m *Model) CacheEvents(after uint64, limit int) []*dhpb.CacheEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timers.Now()
	rows := m.events.rows
	low, high := 0, len(rows)
	for low < high {
		if mid := (low + high) / 2; rows[mid].event.Sequence > after {
			high = mid
		} else {
			low = mid + 1
		}
	}
	var events []*dhpb.CacheEvent
	for _, row := range rows[low:] {
		if len(events) == limit || row.due.After(now) {
			break
		}
		events = append(events, row.event)
	}
	return events
}
