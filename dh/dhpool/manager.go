package dhpool

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// Orders sends orders to backend servers.
type Orders interface {
	Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error)
}

// Lease is the order lease of a pool, which permits this VM to send orders.
type Lease interface {
	// MayOrder returns the fencing token, or false if this VM may not send orders
	// now. For a backend server that ignores the token, it returns false until the
	// leases of earlier holders have ended.
	MayOrder(now time.Time, checksFencing bool) (token uint64, ok bool)
}

// Store is the rate limit of the weight store that all loads share.
type Store interface {
	// Reserve reports whether a load may start now, and counts it.
	Reserve(now time.Time) bool
}

// The defaults of a Manager.
const (
	// MaxVersions bounds the versions on one backend server.
	MaxVersions = 4
	// OrderTimeout bounds one order.
	OrderTimeout = 2 * time.Second
	// SettleTime is how long an accepted order counts as in progress, so that it
	// is not sent again before the announcements show its effect.
	SettleTime = 2 * time.Minute
	// maxPending bounds the orders in progress.
	maxPending = 256
)

// Manager sends the orders of the pools whose order lease this VM holds. Its
// exported fields are set before the first Tick. It is not safe for concurrent use.
type Manager struct {
	Timers dhtimer.Service
	Log    *slog.Logger
	Orders Orders
	Store  Store
	// Lease returns the order lease of a pool.
	Lease func(pool string) Lease

	pending map[pendingKey]time.Time
}

type pendingKey struct {
	backend string
	version dhtable.Version
	kind    Kind
}

// Tick plans each engine pool again and sends the orders that are not in progress.
func (m *Manager) Tick(ctx context.Context, t *dhtable.Tables, view *dhbackend.View) {
	now := m.Timers.Now()
	for name, pool := range t.Pools {
		if pool.Kind != dhtable.Engine {
			continue
		}
		for _, o := range Plan(t, name, view.Pool(name), MaxVersions) {
			m.send(ctx, now, name, o)
		}
	}
	m.expirePending(now)
}

func (m *Manager) send(ctx context.Context, now time.Time, pool string, o Order) {
	key := pendingKey{o.Backend.ID, o.Version, o.Kind}
	if _, ok := m.pending[key]; ok || len(m.pending) >= maxPending {
		return
	}
	if _, ok := m.Lease(pool).MayOrder(now, o.Backend.ChecksFencing); !ok {
		return
	}
	if o.Kind == Load && !m.Store.Reserve(now) {
		return
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, m.Timers, OrderTimeout)
	defer cancel()
	// The lease is checked again right before the order is sent, because Reserve may
	// have blocked.
	token, ok := m.Lease(pool).MayOrder(m.Timers.Now(), o.Backend.ChecksFencing)
	if !ok {
		return
	}
	answer, err := m.Orders.Order(ctx, o.Backend.Address, &dhpb.OrderRequest{
		FencingToken: token, Kind: o.Kind.String(), Model: o.Version.Model, Version: o.Version.Name,
	})
	accepted := err == nil && answer.GetAccepted()
	m.Log.Info("order", slog.String("pool", pool), slog.String("backend", o.Backend.ID), slog.String("kind", o.Kind.String()),
		slog.String("version", o.Version.String()), slog.Uint64("token", token), slog.Bool("accepted", accepted))
	if !accepted {
		return
	}
	if m.pending == nil {
		m.pending = make(map[pendingKey]time.Time)
	}
	m.pending[key] = now
}

// expirePending removes orders that should have taken effect by now. If a plan still
// needs them, they are sent again.
func (m *Manager) expirePending(now time.Time) {
	for key, sent := range m.pending {
		if now.Sub(sent) >= SettleTime {
			delete(m.pending, key)
		}
	}
}

// Rate is a Store that permits one load per Period on this VM. Only the holder of a
// pool's lease sends loads, so pools with different holders have separate rates.
type Rate struct {
	Period time.Duration

	last time.Time
}

// Reserve implements Store.
func (r *Rate) Reserve(now time.Time) bool {
	if !r.last.IsZero() && now.Sub(r.last) < r.Period {
		return false
	}
	r.last = now
	return true
}
