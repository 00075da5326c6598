// Package dhlease decides which entry VM may send orders to the backend
// servers of a pool.
//
// The register order/<pool> stores the holder, a fencing token that increases
// with each holder, and a lease. The holder measures the lease on its own clock
// from before it wrote the register; others measure it from when they first
// read it, extended by the permitted difference in clock rates. Timestamps of
// two VMs are never compared.
//
// Backend servers that check the token refuse orders of an older holder
// themselves. To those that ignore it, a new holder sends no order until the
// lease of every older holder has certainly ended.
//
// # Usage
//
//	holder := &dhlease.Holder{Registers: registers, Timers: timers, Pool: "atelier-llm", Name: "vm-a"}
//	token, err := holder.Acquire(ctx) // code lease-held-elsewhere: try again after the retry-after time
//	err = holder.Renew(ctx)           // on a tick of a third of the lease
//	if token, ok := holder.MayOrder(timers.Now(), backend.ChecksFencing); ok { ... }
//	err = holder.Release(ctx)         // after the last order has been answered
package dhlease

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// DefaultLease is the default duration of a lease.
	DefaultLease = 10 * time.Second
	// ClockRatePercent is the maximum deviation of a VM's clock rate, in either direction.
	ClockRatePercent = 1

	valueFormat = 1
)

// Register stores small values on a quorum.
type Register interface {
	// Update applies f to the value of key and returns the current value. Code
	// quorum-unreachable means that the outcome is unknown.
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	// Read returns the current value, or nil when there is none.
	Read(ctx context.Context, key string) ([]byte, error)
}

// Holder is one VM's participant in the order lease of a pool. Its fields are
// set before use. It is safe for concurrent use.
type Holder struct {
	Registers  Register
	Timers     dhtimer.Service
	Pool, Name string
	// Lease is the duration of this VM's leases; 0 means DefaultLease.
	Lease time.Duration
	// HolderStopped, if set, reports whether another holder's VM has probably stopped.
	// Its lease is then taken over early, which is safe because of the fencing
	// token and the waiting rule for backend servers that ignore it.
	HolderStopped func(name string) bool

	mu         sync.Mutex
	id         string
	held       bool
	leaseValue *dhpb.OrderLease
	// writeNumber counts this VM's writes. Each write has its own number, so that
	// a value read before it was decided is not mistaken for a later write.
	writeNumber uint64
	// sent is the time before the last write, acquired the time after the first write.
	sent, acquired time.Time
	observed       observation
}

// observation records when this VM first read a lease of another holder.
type observation struct {
	holder  string
	renewal uint64
	since   time.Time
}

// safeWait returns how long to wait until another VM's clock has certainly
// measured d: that clock may be slow by the permitted rate and this one fast.
// The approximation 1 + 2*1% is 0.02% too short: with it, TestClocksAtTheLimit
// finds two holders.
func safeWait(d time.Duration) time.Duration {
	return d*(100+ClockRatePercent)/(100-ClockRatePercent) + 1
}

func (h *Holder) lease() time.Duration {
	if h.Lease <= 0 {
		return DefaultLease
	}
	return h.Lease.Truncate(time.Millisecond)
}

func (h *Holder) key() string { return "order/" + h.Pool }

// nextWrite returns an ID that is unique to this start of the VM, and a new
// write number.
func (h *Holder) nextWrite() (id string, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id == "" {
		h.id = h.Name + "/" + rand.Text()
	}
	h.writeNumber++
	return h.id, h.writeNumber
}

// Acquire makes this VM the holder and returns the fencing token. If it already
// is the holder, it renews the lease. The error lease-held-elsewhere carries a
// retry-after time. After quorum-unreachable the outcome is unknown; the next
// call determines it.
func (h *Holder) Acquire(ctx context.Context) (uint64, error) {
	value, err := h.Registers.Read(ctx, h.key())
	if err != nil {
		return 0, err
	}
	old, err := h.decode(value)
	if err != nil {
		return 0, err
	}
	id, number := h.nextWrite()
	if next, wait := h.successor(id, number, old); next == nil {
		return 0, heldElsewhere(old, wait)
	}
	sent := h.Timers.Now()
	value, err = h.Registers.Update(ctx, h.key(), func(value []byte) ([]byte, error) {
		v, err := h.decode(value)
		if err != nil {
			return nil, err
		}
		next, _ := h.successor(id, number, v)
		if next == nil {
			return value, nil
		}
		return proto.Marshal(next)
	})
	if err != nil {
		return 0, err
	}
	v, err := h.decode(value)
	if err != nil {
		return 0, err
	}
	if v.GetHolder() != id || v.GetReleased() {
		_, wait := h.successor(id, number, v)
		return 0, heldElsewhere(v, wait)
	}
	h.setHeld(v, sent)
	return v.GetToken(), nil
}

// successor returns the value with which this VM acquires or renews the lease,
// or how long it has to wait first. It changes only h.observed.
func (h *Holder) successor(id string, number uint64, old *dhpb.OrderLease) (*dhpb.OrderLease, time.Duration) {
	next := proto.CloneOf(old)
	next.Format, next.LeaseMs, next.Renewal = valueFormat, h.lease().Milliseconds(), number
	if old.GetHolder() == id && !old.GetReleased() {
		return next, 0
	}
	wait := h.waitFor(old)
	switch olderEnded := old.GetToken() == 0 || old.GetQuietToken() == old.GetToken()-1; {
	case wait <= 0, old.GetReleased() && olderEnded:
		next.QuietToken, next.OlderLeaseMs = old.GetToken(), 0
	case old.GetReleased():
		// The released lease has ended, but an older one may not have.
	case h.HolderStopped != nil && h.HolderStopped(vmNameOf(old)):
		next.OlderLeaseMs = longestLease(old).Milliseconds()
	default:
		return nil, wait
	}
	next.Token, next.Holder, next.Released = old.GetToken()+1, id, false
	return next, 0
}

// waitFor returns how long to wait until the lease of old and all older ones
// have certainly ended; 0 or less means that they have.
func (h *Holder) waitFor(old *dhpb.OrderLease) time.Duration {
	if old.GetToken() == 0 {
		return 0
	}
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observed.holder != old.GetHolder() || h.observed.renewal != old.GetRenewal() {
		h.observed = observation{old.GetHolder(), old.GetRenewal(), now}
	}
	return safeWait(longestLease(old)) - now.Sub(h.observed.since)
}

// longestLease returns the longest duration among the lease of the holder and
// older leases that may not have ended.
func longestLease(v *dhpb.OrderLease) time.Duration {
	return time.Duration(max(v.GetLeaseMs(), v.GetOlderLeaseMs())) * time.Millisecond
}

func vmNameOf(v *dhpb.OrderLease) string {
	holder := v.GetHolder()
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

func heldElsewhere(v *dhpb.OrderLease, wait time.Duration) error {
	err := dhcode.Errorf(dhcode.LeaseHeldElsewhere, "orders are given by %q with token %d", vmNameOf(v), v.GetToken())
	return dhcode.WithRetryAfter(err, max(wait, 0))
}

func (h *Holder) decode(value []byte) (*dhpb.OrderLease, error) {
	v := &dhpb.OrderLease{}
	if err := proto.Unmarshal(value, v); err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, fmt.Errorf("value of %q: %w", h.key(), err))
	}
	if v.GetFormat() > valueFormat {
		return nil, dhcode.Errorf(dhcode.Internal, "value of %q has format %d, at most %d is known", h.key(), v.GetFormat(), valueFormat)
	}
	return v, nil
}
