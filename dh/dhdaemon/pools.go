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
	poolsPeriod = time.Second
	// renewBefore is how much of a lease is left when it is renewed.
	renewBefore = 2 * dhlease.DefaultLease / 3
	// loadPeriod is the time between two loads from the weight store.
	loadPeriod = 5 * time.Second
	// releaseTimeout bounds the release of the leases in a graceful shutdown.
	releaseTimeout = time.Second
)

// pools gives the orders of the pools whose lease this VM holds. Only VMs with
// a disk compete for leases, which bounds the load on the voters.
type pools struct {
	daemon  *Daemon
	orders  dhpool.Orders
	holders map[string]*dhlease.Holder
	// again is when a lease held elsewhere is asked for again.
	again   map[string]time.Time
	manager *dhpool.Manager
}

func newPools(d *Daemon, orders dhpool.Orders) *pools {
	p := &pools{daemon: d, orders: orders, holders: make(map[string]*dhlease.Holder), again: make(map[string]time.Time)}
	p.manager = &dhpool.Manager{
		Timers: d.Timers, Log: d.Log, Orders: orders, Store: &dhpool.Rate{Period: loadPeriod}, Lease: p.lease,
	}
	return p
}

func (p *pools) lease(pool string) dhpool.Lease { return p.holders[pool] }

// run keeps the leases and sends orders until ctx ends.
func (p *pools) run(ctx context.Context) error {
	for dhtimer.Sleep(ctx, p.daemon.Timers, poolsPeriod) == nil {
		s := p.daemon.router.Snapshot()
		if s.Leaving {
			p.release(ctx)
			return nil
		}
		// Orders from tables that may be out of date could undo newer ones.
		if s.Tables == nil || s.LeaseExpired {
			continue
		}
		for name, pool := range s.Tables.Pools {
			if pool.Kind == dhtable.Engine {
				p.keep(ctx, name)
			}
		}
		p.manager.Tick(ctx, s.Tables, s.Backends)
	}
	return nil
}

// keep acquires or renews the order lease of a pool.
func (p *pools) keep(ctx context.Context, pool string) {
	now := p.daemon.Timers.Now()
	h := p.holders[pool]
	if h == nil {
		h = &dhlease.Holder{
			Registers: p.daemon.proposer, Timers: p.daemon.Timers, Pool: pool, Name: p.daemon.Settings.Name, Gone: p.daemon.nameGone,
		}
		p.holders[pool] = h
	}
	if h.Left(now) > renewBefore || now.Before(p.again[pool]) {
		return
	}
	held := h.Valid(now)
	token, err := h.Acquire(ctx)
	switch {
	case err == nil && !held:
		p.daemon.Log.Info("order lease", slog.String("pool", pool), slog.Uint64("token", token))
	case dhcode.Of(err) == dhcode.LeaseHeldElsewhere:
		p.again[pool] = now.Add(max(dhcode.RetryAfterOf(err), poolsPeriod))
	case err != nil:
		p.daemon.Log.Debug("order lease not acquired", slog.String("pool", pool), slog.String("error", err.Error()))
	}
}

// release gives the leases up, so that another VM need not wait for their end.
func (p *pools) release(ctx context.Context) {
	ctx, cancel := dhtimer.WithTimeout(ctx, p.daemon.Timers, releaseTimeout)
	defer cancel()
	for _, h := range p.holders {
		if h.Valid(p.daemon.Timers.Now()) {
			_ = h.Release(ctx) // the lease ends by itself when this fails
		}
	}
}

// Order implements dhpool.Orders.
func (e engineClient) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	return e.client.Order(ctx, address, o)
}
