package dhengine

import (
	"container/list"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

// prefixCache is an LRU set of prompt blocks. The key of a block is the hash
// of the prefix that ends with it.
type prefixCache struct {
	limit    int
	lru      *list.List // of uint64 hashes, the most recently used first
	elements map[uint64]*list.Element
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, lru: list.New(), elements: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if _, ok := c.elements[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// add inserts blocks with the last one as the least recently used, so that a
// prefix is never evicted before its extensions. It calls changed for each
// insertion and eviction.
func (c *prefixCache) add(hashes []uint64, changed func(hash uint64, removed bool)) {
	for i := min(len(hashes), c.limit) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, ok := c.elements[h]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.elements[h] = c.lru.PushFront(h)
		changed(h, false)
	}
	for c.lru.Len() > c.limit {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, h)
		changed(h, true)
	}
}

// maxStoredEvents bounds the cache events stored for readers.
const maxStoredEvents = 1 << 14

// eventLog stores cache events with the time from which they may be read.
// Simulated losses leave gaps in the sequence.
type eventLog struct {
	entries      []loggedEvent
	lastSequence uint64
	lastDue      time.Time
}

type loggedEvent struct {
	due   time.Time
	event *dhpb.CacheEvent
}

func (l *eventLog) add(due time.Time, hash uint64, removed, lost bool) {
	l.lastSequence++
	if lost {
		return
	}
	if due.Before(l.lastDue) {
		due = l.lastDue
	}
	l.lastDue = due
	if len(l.entries) >= maxStoredEvents {
		l.entries = append(l.entries[:0], l.entries[maxStoredEvents/4:]...)
	}
	l.entries = append(l.entries, loggedEvent{due: due, event: &dhpb.CacheEvent{Sequence: l.lastSequence, PrefixHash: hash, Removed: removed}})
}

// addToCache adds the prompt blocks of a request to the prefix cache and logs
// the changes as cache events with a random delay and loss.
func (m *Model) addToCache(r *request, now time.Time) {
	m.cache.add(r.hashes, func(hash uint64, removed bool) {
		delay := scale(m.EventDelay, 0.5+m.rng.Float64())
		m.events.add(now.Add(delay), hash, removed, m.rng.Float64() < m.EventLoss)
	})
}

// CacheEvents returns up to limit due events with sequence numbers above after.
// A gap in the sequence numbers means that events were lost.
func (m *Model) CacheEvents(after uint64, limit int) []*dhpb.CacheEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timers.Now()
	rows := m.events.entries
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
