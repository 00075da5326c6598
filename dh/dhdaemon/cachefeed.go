package dhdaemon

import (
	"context"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
)

// cacheSource streams cache events of backend servers.
type cacheSource interface {
	CacheEvents(ctx context.Context, address string, after uint64, f func(*dhpb.CacheEvent) bool) error
}

// cacheFeed forwards the cache events of the engines in this VM's zone to the
// placer.
type cacheFeed struct {
	daemon *Daemon
	source cacheSource
	placer *dhplacement.Placer

	mu      sync.Mutex
	running map[string]bool
}

// tick starts a stream for each engine that has none.
func (f *cacheFeed) tick(_ time.Time, s *dhrouter.Snapshot) {
	if s.Tables == nil {
		return
	}
	for name, pool := range s.Tables.Pools {
		if pool.Kind != dhtable.Engine {
			continue
		}
		for _, b := range s.Backends.Pool(name) {
			if b.Zone == f.daemon.Settings.Zone && f.markRunning(b.ID) {
				f.start(b)
			}
		}
	}
}

// markRunning reports whether a backend server had no stream, and marks it as
// having one.
func (f *cacheFeed) markRunning(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[id] {
		return false
	}
	if f.running == nil {
		f.running = make(map[string]bool)
	}
	f.running[id] = true
	return true
}

// start streams the cache events of one engine until the stream breaks. Each
// stream begins without a sequence number, because a restarted engine restarts
// its numbering.
func (f *cacheFeed) start(b *dhbackend.Backend) {
	f.daemon.group.Go(func(ctx context.Context) error {
		_ = f.source.CacheEvents(ctx, b.Address, 0, func(e *dhpb.CacheEvent) bool {
			f.placer.Observe(b.ID, e)
			return true
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, b.ID)
		return nil
	})
}
