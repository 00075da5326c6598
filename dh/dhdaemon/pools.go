package dhdaemon

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlease"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpool"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	poolTickPeriod = time.Second
	// renewBefore is the remaining time of a lease from which on it is renewed.
	renewBefore = 2 * dhlease.DefaultLease / 3
	// loadPeriod is the time between two loads from the weight store.
	loadPeriod = 5 * time.Second
	// releaseTimeout bounds the release of the leases in a graceful shutdown.
	releaseTimeout = time.Second
)

// poolController sends the orders for the pools whose order lease this VM
// holds. Only VMs with a disk compete for leases, which bounds the load on the
// voters.
type poolController struct {
	daemon  *Daemon
	orders  dhpool.Orders
	holders map[string]*dhlease.Holder
	// retryAt is when a lease that another VM holds is requested again, by pool.
	retryAt map[string]time.Time
	manager *dhpool.Manager
}

func newPoolController(d *Daemon, orders dhpool.Orders) *poolController {
	p := &poolController{daemon: d, orders: orders, holders: make(map[string]*dhlease.Holder), retryAt: make(map[string]time.Time)}
	p.manager = &dhpool.Manager{
		Timers: d.Timers, Log: d.Log, Orders: orders, Store: &dhpool.Rate{Period: loadPeriod}, Lease: p.lease,
	}
	return p
}

func (p *poolController) lease(pool string) dhpool.Lease { return p.holders[pool] }

// run keeps the leases and sends orders until ctx ends.
func (p *poolController) run(ctx context.Context) error {
	for dhtimer.Sleep(ctx, p.daemon.Timers, poolTickPeriod) == nil {
		s := p.daemon.router.Snapshot()
		if s.Leaving {
			p.release(ctx)
			return nil
		}
		// Orders computed from outdated tables could undo newer orders.
		if s.Tables == nil || s.LeaseExpired {
			continue
		}
		for name, pool := range s.Tables.Pools {
			if pool.Kind == dhtable.Engine {
				p.acquireOrRenew(ctx, name)
			}
		}
		p.manager.Tick(ctx, s.Tables, s.Backends)
	}
	return nil
}

// acquireOrRenew acquires or renews the order lease of a pool.
func (p *poolController) acquireOrRenew(ctx context.Context, pool string) {
	now := p.daemon.Timers.Now()
	h := p.holders[pool]
	if h == nil {
		h = &dhlease.Holder{
			Registers: p.daemon.proposer, Timers: p.daemon.Timers, Pool: pool, Name: p.daemon.Settings.Name, HolderStopped: p.daemon.vmGone,
		}
		p.holders[pool] = h
	}
	if h.Remaining(now) > renewBefore || now.Before(p.retryAt[pool]) {
		return
	}
	held := h.Valid(now)
	token, err := h.Acquire(ctx)
	switch {
	case err == nil && !held:
		p.daemon.Log.Info("order lease", slog.String("pool", pool), slog.Uint64("token", token))
	case dhcode.Of(err) == dhcode.LeaseHeldElsewhere:
		p.retryAt[pool] = now.Add(max(dhcode.RetryAfterOf(err), poolTickPeriod))
	case err != nil:
		p.daemon.Log.Debug("order lease not acquired", slog.String("pool", pool), slog.String("error", err.Error()))
	}
}

// release releases the leases, so that other VMs need not wait until they expire.
func (p *poolController) release(ctx context.Context) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.daemon.Timers, releaseTimeout)
	defer cancel()
	for _, h := range p.holders {
		if h.Valid(p.daemon.Timers.Now()) {
			_ = h.Release(ctx) // on failure, the lease expires by itself
		}
	}
}

// Order implements dhpool.Orders.
func (e engineClient) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	return e.client.Order(ctx, address, o)
}
