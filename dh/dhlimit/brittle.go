package dhlimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhtimer"
)

const (
	// brittleFor is how long a pool counts as brittle after the last statement of one of
	// its backend servers, if none has stated otherwise: statements come with answers.
	brittleFor = 20 * time.Second
	// freeFraction is the fraction of its slots up to which a brittle backend server takes
	// requests of any VM: what other VMs send until the loads are known must still fit.
	freeFraction = 0.5
	// loadDelay is the age of what a VM knows of the requests of others.
	loadDelay = 600 * time.Millisecond
	// refusalShare is the part of the refusals that a brittle backend server bears in a
	// second that all VMs together may cause, and longestRest the longest time for which a
	// VM leaves one alone after a refusal.
	refusalShare = 0.5
	longestRest  = 3 * time.Second
	// maxBrittlePools and maxResting bound the tables.
	maxBrittlePools = 256
	maxResting      = 4096
)

// Brittle keeps the requests to backend servers that end if they must refuse too many
// within their room, summed over all entry VMs. While a pool is brittle, a VM sends to a
// backend server with free slots, or within its share of them. It is safe for use by
// several goroutines.
type Brittle struct {
	Timers dhtimer.Service

	mu    sync.Mutex
	pools map[string]brittlePool
	// rests holds until when backend servers are left alone after a refusal.
	rests map[string]time.Time
}

// brittlePool tells how many refusals a second the backend servers of a pool bear, and when
// one last said so.
type brittlePool struct {
	refusals float64
	at       time.Time
}

// Observe records what an answer of a pool's backend server states: how many refusals a
// second it bears, or with stated false that it is not brittle. It reports whether this
// changes whether the pool is brittle.
func (b *Brittle) Observe(pool string, refusals float64, stated bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.pools[pool]
	switch {
	case stated:
		if b.pools == nil {
			b.pools, b.rests = make(map[string]brittlePool), make(map[string]time.Time)
		}
		if known || len(b.pools) < maxBrittlePools {
			b.pools[pool] = brittlePool{refusals, b.Timers.Now()}
		}
		return !known
	case known:
		delete(b.pools, pool)
		if len(b.pools) == 0 {
			clear(b.rests)
		}
	}
	return known
}

// Refused records that a backend server of a pool refused a request for want of room. vms
// is the number of entry VMs.
func (b *Brittle) Refused(pool, id string, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, brittle := b.pools[pool]
	if !brittle || len(b.rests) >= maxResting {
		return
	}
	rest := longestRest
	if p.refusals > 0 {
		rest = min(time.Duration(float64(vms)/(refusalShare*p.refusals)*float64(time.Second)), longestRest)
	}
	b.rests[id] = b.Timers.Now().Add(rest)
}

// Load is what a VM knows of the load of a backend server.
type Load struct {
	// Slots is its number of slots, Own that of this VM's requests there, and All that of
	// the requests of all VMs some time ago.
	Slots, Own, All int
	// PerSecond is the estimated number of requests a second that all VMs have for it.
	PerSecond float64
}

// Known reports whether a pool has been brittle lately.
func (b *Brittle) Known(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.pools[pool]
	return known
}

// Permits reports whether a request may be sent to a backend server of a pool. This VM has
// a rank, from 0, among the number vms of entry VMs.
func (b *Brittle) Permits(pool, id string, load Load, rank, vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, brittle := b.pools[pool]
	now := b.Timers.Now()
	if !brittle || now.Sub(p.at) > brittleFor {
		return true
	}
	if until, resting := b.rests[id]; resting {
		if now.Before(until) {
			return false
		}
		delete(b.rests, id)
	}
	slots := float64(load.Slots)
	unseen := load.PerSecond * loadDelay.Seconds()
	if float64(max(load.All, load.Own)+1)+unseen <= freeFraction*slots {
		return true
	}
	return load.Own < share(id, load.Slots, rank, max(vms, 1))
}

// share returns how many of a backend server's slots a VM of a rank has. Slots that are
// left when all have the same number go to some VMs, other ones at another backend server,
// so that all shares together are the slots.
func share(id string, slots, rank, vms int) int {
	whole, rest := slots/vms, slots%vms
	if (rank+int(xxhash.Sum64String(id)%uint64(vms)))%vms < rest {
		whole++
	}
	return whole
}
