package dhplacement

import (
	"sort"
	"sync"

	"dandelionhoist.example/dh/dhpb"
)

// blockSet is an LRU set of the prefix hashes that a backend server is
// estimated to have in its prefix cache.
type blockSet struct {
	mu        sync.RWMutex
	limit     int
	nodeIndex map[uint64]int32 // index in nodes
	nodes     []blockNode      // nodes[0] is the sentinel of a circular list: next is the newest, prev the oldest
	last      uint64           // sequence of the last cache event
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

func (s *blockSet) reset() { s.nodeIndex, s.nodes = nil, nil }

// add inserts a hash, or moves it, as the newest entry. The caller holds the lock.
func (s *blockSet) add(hash uint64) {
	if s.limit <= 0 {
		return
	}
	if s.nodeIndex == nil {
		s.nodeIndex, s.nodes = make(map[uint64]int32), make([]blockNode, 1)
	}
	at, ok := s.nodeIndex[hash]
	switch {
	case ok:
		s.unlink(at)
	case len(s.nodes) <= s.limit:
		at = int32(len(s.nodes))
		s.nodes = append(s.nodes, blockNode{hash: hash})
	default:
		at = s.nodes[0].prev
		s.unlink(at)
		if old := s.nodes[at].hash; s.nodeIndex[old] == at {
			delete(s.nodeIndex, old) // after remove, the hash may belong to another node and must stay
		}
		s.nodes[at].hash = hash
	}
	s.nodeIndex[hash] = at
	s.link(at, 0)
}

// remove deletes a hash and makes its node the oldest, so that it is reused first.
func (s *blockSet) remove(hash uint64) {
	if at, ok := s.nodeIndex[hash]; ok {
		delete(s.nodeIndex, hash)
		s.unlink(at)
		s.link(at, s.nodes[0].prev)
	}
}

// link inserts a node after the node with index after.
func (s *blockSet) link(at, after int32) {
	next := s.nodes[after].next
	s.nodes[at].prev, s.nodes[at].next = after, next
	s.nodes[after].next, s.nodes[next].prev = at, at
}

func (s *blockSet) unlink(at int32) {
	n := s.nodes[at]
	s.nodes[n.prev].next, s.nodes[n.next].prev = n.next, n.prev
}

// maxLostRun is the expected maximum number of consecutive blocks that are
// missing from the set because their cache events were lost.
const maxLostRun = 2

// match returns how many leading blocks of a prompt the backend server is
// estimated to have cached. A prefix stays cached as long as its extensions
// do, so a binary search finds the last cached block.
func (r *backendState) match(prefix []uint64) int {
	s := &r.cachedBlocks
	s.mu.RLock()
	defer s.mu.RUnlock()
	if len(s.nodeIndex) == 0 {
		return 0
	}
	return sort.Search(len(prefix), func(i int) bool {
		for _, h := range prefix[i:min(i+1+maxLostRun, len(prefix))] {
			if _, ok := s.nodeIndex[h]; ok {
				return false
			}
		}
		return true
	})
}

// Observe applies a cache event of a backend server. Events can be late or
// lost. A sequence gap of more than 16 events and at least half of the known
// blocks, as after a restart, clears the set.
func (p *Placer) Observe(backend string, e *dhpb.CacheEvent) {
	p.mu.Lock()
	r, ok := p.states[backend]
	p.mu.Unlock()
	if !ok {
		return
	}
	s := &r.cachedBlocks
	s.mu.Lock()
	gap := e.GetSequence() - s.last - 1
	if s.last > 0 && e.GetSequence() > s.last && gap > 16 && gap >= uint64(len(s.nodeIndex)/2) {
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

// remember records that a backend server will cache the prompt that is sent to it.
func (p *Placer) remember(r *backendState, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	s := &r.cachedBlocks
	s.mu.Lock()
	for i := len(prefix) - 1; i >= 0; i-- {
		s.add(prefix[i])
	}
	s.mu.Unlock()
	for _, h := range prefix {
		p.owners.set(h, r.id, false)
	}
}

// ownerShards is the number of independently locked shards of owners;
// ownerLimit bounds the entries per shard.
const (
	ownerShards = 64
	ownerLimit  = 4096
)

// owners maps a prefix hash to the backend server that received it last.
type owners struct {
	shards [ownerShards]ownerShard
}

type ownerShard struct {
	mu       sync.RWMutex
	current  map[uint64]string
	previous map[uint64]string
}

func (o *owners) shard(hash uint64) *ownerShard { return &o.shards[hash%ownerShards] }

func (o *owners) set(hash uint64, id string, removed bool) {
	s := o.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		if s.current[hash] == id {
			delete(s.current, hash)
		}
		if s.previous[hash] == id {
			delete(s.previous, hash)
		}
		return
	}
	if s.current == nil || len(s.current) >= ownerLimit/2 {
		// Keep two generations: entries not set again since the last rotation are dropped.
		s.previous, s.current = s.current, make(map[uint64]string, ownerLimit/2)
	}
	s.current[hash] = id
}

func (o *owners) get(hash uint64) string {
	s := o.shard(hash)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if id, ok := s.current[hash]; ok {
		return id
	}
	return s.previous[hash]
}

// longest returns the owner of the longest known prefix and the number of its hashes, or "" when
// none is known.
func (o *owners) longest(prefix []uint64) (string, int) {
	n := sort.Search(len(prefix), func(i int) bool { return o.get(prefix[i]) == "" })
	if n == 0 {
		return "", 0
	}
	return o.get(prefix[n-1]), n
}

// forget deletes all entries of a backend server that was removed.
func (o *owners) forget(id string) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, generation := range []map[uint64]string{s.current, s.previous} {
			for h, owner := range generation {
				if owner == id {
					delete(generation, h)
				}
			}
		}
		s.mu.Unlock()
	}
}

// scoreRendezvous scores the permitted candidate with the highest rendezvous
// weight for the longest shared prefix, of the zone unless the request leaves it. All
// entry VMs of a zone compute the same candidate without messages, so that the prefix
// is prefilled once in each zone and not once for each entry VM.
func (c *decision) scoreRendezvous() {
	if c.r.Shared <= 0 || c.r.Shared > len(c.r.Prefix) {
		return
	}
	prefix := c.r.Prefix[c.r.Shared-1]
	var best *candidate
	var highest uint64
	for i := range c.group.zones {
		if !c.zoneAllowed(i) || !c.sharesPrefixes(i) {
			continue
		}
		for _, cand := range c.group.zones[i].members {
			if (c.r.Permit != nil && !c.r.Permit(cand.backend)) || !c.inLane(cand) {
				continue
			}
			w := random(cand.state.hash ^ prefix)
			if weight := w.next(); weight > highest {
				best, highest = cand, weight
			}
		}
	}
	if best != nil {
		c.rendezvous = true
		c.score(best)
		c.rendezvous = false
	}
}
