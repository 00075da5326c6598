package dhplacement

import (
	"sort"
	"sync"

	"dandelionhoist.example/dh/dhpb"
)

// blockSet is the set of prefix hashes that a backend server is believed to
// hold. Beyond the limit the least recently used ones are dropped.
type blockSet struct {
	mu    sync.RWMutex
	limit int
	rows  map[uint64]int32 // index in nodes
	nodes []blockNode      // nodes[0] is the head of the ring: next is the newest, prev the oldest
	last  uint64           // sequence of the last cache event
}

type blockNode struct {
	hash       uint64
	prev, next int32
}

func (s *blockSet) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
}

func (s *blockSet) reset() { s.rows, s.nodes = nil, nil }

// add puts a hash in as the newest one. The caller holds the lock.
func (s *blockSet) add(hash uint64) {
	if s.limit <= 0 {
		return
	}
	if s.rows == nil {
		s.rows, s.nodes = make(map[uint64]int32), make([]blockNode, 1)
	}
	at, ok := s.rows[hash]
	switch {
	case ok:
		s.unlink(at)
	case len(s.nodes) <= s.limit:
		at = int32(len(s.nodes))
		s.nodes = append(s.nodes, blockNode{hash: hash})
	default:
		at = s.nodes[0].prev
		s.unlink(at)
		if old := s.nodes[at].hash; s.rows[old] == at {
			delete(s.rows, old) // not after remove, when another node may have the hash
		}
		s.nodes[at].hash = hash
	}
	s.rows[hash] = at
	s.link(at, 0)
}

// remove drops a hash; its node becomes the oldest and is used again first.
func (s *blockSet) remove(hash uint64) {
	if at, ok := s.rows[hash]; ok {
		delete(s.rows, hash)
		s.unlink(at)
		s.link(at, s.nodes[0].prev)
	}
}

// link puts a node behind the node after.
func (s *blockSet) link(at, after int32) {
	next := s.nodes[after].next
	s.nodes[at].prev, s.nodes[at].next = after, next
	s.nodes[after].next, s.nodes[next].prev = at, at
}

func (s *blockSet) unlink(at int32) {
	n := s.nodes[at]
	s.nodes[n.prev].next, s.nodes[n.next].prev = n.next, n.prev
}

// lostInARow is how many neighbouring blocks an event loss is expected to hide at most.
const lostInARow = 2

// match returns how many leading blocks of a prompt the backend server is
// believed to hold. A prefix is held as long as its extensions are, so the
// last held block is found by halving.
func (r *row) match(prefix []uint64) int {
	s := &r.known
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.rows) == 0 {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool {
		for _, h := range prefix[i:min(i+1+lostInARow, len(prefix))] {
			if _, ok := s.rows[h]; ok {
				return false
			}
		}
		return true
	})
}

// Observe applies a cache event of a backend server. Events come late and some
// never; a gap as large as half of what is known, as after a restart, empties it.
func (p *Placer) Observe(backend string, e *dhpb.CacheEvent) {
	p.mu.Lock()
	r, ok := p.rows[backend]
	p.mu.Unlock()
	if !ok {
		return
	}
	s := &r.known
	s.mu.Lock()
	gap := e.GetSequence() - s.last - 1
	if s.last > 0 && e.GetSequence() > s.last && gap > 16 && gap >= uint64(len(s.rows)/2) {
		s.reset()
	}
	s.last = max(s.last, e.GetSequence())
	if e.GetRemoved() {
		s.remove(e.GetPrefixHash())
	} else {
		s.add(e.GetPrefixHash())
	}
	s.mu.Unlock()
	p.owners.set(e.GetPrefixHash(), r.id, e.GetRemoved())
}

// remember notes that a backend server will hold a prompt that is sent to it.
func (p *Placer) remember(r *row, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	s := &r.known
	s.mu.Lock()
	for i := len(prefix) - 1; i >= 0; i-- {
		s.add(prefix[i])
	}
	s.mu.Unlock()
	for _, h := range prefix {
		p.owners.set(h, r.id, false)
	}
}

// ownerShards splits the locks of owners; ownerLimit bounds the entries per shard.
const (
	ownerShards = 64
	ownerLimit  = 4096
)

// owners maps a prefix hash to the backend server that got it last.
type owners struct {
	shards [ownerShards]ownerShard
}

type ownerShard struct {
	mu   sync.RWMutex
	rows map[uint64]string
	old  map[uint64]string
}

func (o *owners) shard(hash uint64) *ownerShard { return &o.shards[hash%ownerShards] }

func (o *owners) set(hash uint64, id string, removed bool) {
	s := o.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		if s.rows[hash] == id {
			delete(s.rows, hash)
		}
		if s.old[hash] == id {
			delete(s.old, hash)
		}
		return
	}
	if s.rows == nil || len(s.rows) >= ownerLimit/2 {
		// Two generations: what was not used since the last change is dropped.
		s.old, s.rows = s.rows, make(map[uint64]string, ownerLimit/2)
	}
	s.rows[hash] = id
}

func (o *owners) get(hash uint64) string {
	s := o.shard(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if id, ok := s.rows[hash]; ok {
		return id
	}
	return s.old[hash]
}

// longest returns the last holder of the longest known prefix, or "".
func (o *owners) longest(prefix []uint64) string {
	n := sort.Search(len(prefix), func(i int) bool { return o.get(prefix[i]) == "" })
	if n == 0 {
		return ""
	}
	return o.get(prefix[n-1])
}

// forget drops a backend server that is gone.
func (o *owners) forget(id string) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, rows := range []map[uint64]string{s.rows, s.old} {
			for h, owner := range rows {
				if owner == id {
					delete(rows, h)
				}
			}
		}
		s.mu.Unlock()
	}
}

// scoreHome scores the home of the longest shared prefix: the candidate that
// the request may use with the highest rendezvous weight. All entry VMs agree
// on it without messages, so that the prefix is read once and not once for
// each VM.
func (c *choice) scoreHome() {
	if c.r.Shared <= 0 || c.r.Shared > len(c.r.Prefix) {
		return
	}
	prefix := c.r.Prefix[c.r.Shared-1]
	var best *candidate
	var highest uint64
	for i := range c.group.zones {
		if !c.open(i) {
			continue
		}
		for _, cand := range c.group.zones[i].rows {
			if (c.r.Permit != nil && !c.r.Permit(cand.backend)) || !c.inLane(cand) {
				continue
			}
			w := random(cand.row.hash ^ prefix)
			if weight := w.next(); weight > highest {
				best, highest = cand, weight
			}
		}
	}
	if best != nil {
		c.home = true
		c.score(best)
		c.home = false
	}
}
