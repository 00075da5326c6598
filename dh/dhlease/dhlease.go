// Package dhlease decides which entry VM may give orders to the backend
// servers of a pool.
//
// The holder of register order/<pool> has a fencing token, which grows with
// each holder, and a lease. The holder counts the lease on its own clock from
// before it wrote; others count it from when they saw it, lengthened for
// clocks whose rates differ. Times of two VMs are never compared.
//
// Backend servers that check the token refuse an older holder by themselves.
// For those that ignore it, a new holder gives no order until the lease of
// every older holder has certainly ended.
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
	// ClockRatePercent is by how much a VM's clock may run fast or slow.
	ClockRatePercent = 1

	valueFormat = 1
)

// Register stores small values on a quorum.
type Register interface {
	// Update applies f to the value of key and returns the value in force. The
	// code quorum-unreachable says that the outcome is unknown.
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	// Read returns the value in force, or nil when there is none.
	Read(ctx context.Context, key string) ([]byte, error)
}

// Holder is one VM's side of the order lease of a pool. Its fields are set
// before use. It is safe for use from several goroutines.
type Holder struct {
	Registers  Register
	Timers     dhtimer.Service
	Pool, Name string
	// Lease is the duration of this VM's leases; 0 means DefaultLease.
	Lease time.Duration
	// Gone, when set, reports whether another holder's VM has probably stopped.
	// Its lease is then taken over early, which is safe because of the token
	// and the rule for backend servers that ignore it.
	Gone func(name string) bool

	mu   sync.Mutex
	id   string
	held bool
	mine *dhpb.OrderLease
	// writes numbers this VM's writes. Each write has its own number, so that a
	// value seen before it was decided is not taken for a later write.
	writes uint64
	// sent is the time before the last write, acquired the time after the first.
	sent, acquired time.Time
	seen           sighting
}

// sighting is when this VM first saw a lease of another holder.
type sighting struct {
	holder  string
	renewal uint64
	since   time.Time
}

// certainlyEnded is how long to wait for another clock to count d: that clock
// may be slow by the allowed rate and this one fast. 1 + 2*1% is 0.02% short of
// it: with it, TestClocksAtTheLimit finds two holders.
func certainlyEnded(d time.Duration) time.Duration {
	return d*(100+ClockRatePercent)/(100-ClockRatePercent) + 1
}

func (h *Holder) lease() time.Duration {
	if h.Lease <= 0 {
		return DefaultLease
	}
	return h.Lease.Truncate(time.Millisecond)
}

func (h *Holder) key() string { return "order/" + h.Pool }

// write returns a name for this start of the VM, which no other start uses,
// and a new number.
func (h *Holder) write() (id string, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id == "" {
		h.id = h.Name + "/" + rand.Text()
	}
	h.writes++
	return h.id, h.writes
}

// Acquire makes this VM the holder and returns the fencing token. When it
// already is the holder, it renews. Code lease-held-elsewhere comes with a
// retry-after time; code quorum-unreachable leaves the outcome unknown, and
// the next call settles it.
func (h *Holder) Acquire(ctx context.Context) (uint64, error) {
	value, err := h.Registers.Read(ctx, h.key())
	if err != nil {
		return 0, err
	}
	old, err := h.decode(value)
	if err != nil {
		return 0, err
	}
	id, number := h.write()
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
	h.hold(v, sent)
	return v.GetToken(), nil
}

// successor returns the value with which this VM takes or renews the lease,
// or how long it has to wait for that. It changes nothing but the sighting.
func (h *Holder) successor(id string, number uint64, old *dhpb.OrderLease) (*dhpb.OrderLease, time.Duration) {
	next := proto.CloneOf(old)
	next.Format, next.LeaseMs, next.Renewal = valueFormat, h.lease().Milliseconds(), number
	if old.GetHolder() == id && !old.GetReleased() {
		return next, 0
	}
	wait := h.waitFor(old)
	switch quiet := old.GetToken() == 0 || old.GetQuietToken() == old.GetToken()-1; {
	case wait <= 0, old.GetReleased() && quiet:
		next.QuietToken, next.OlderLeaseMs = old.GetToken(), 0
	case old.GetReleased():
		// The released lease has ended, an older one perhaps not.
	case h.Gone != nil && h.Gone(nameOf(old)):
		next.OlderLeaseMs = longest(old).Milliseconds()
	default:
		return nil, wait
	}
	next.Token, next.Holder, next.Released = old.GetToken()+1, id, false
	return next, 0
}

// waitFor returns how long it takes until the lease of old and all older ones
// have certainly ended: 0 or less when they have.
func (h *Holder) waitFor(old *dhpb.OrderLease) time.Duration {
	if old.GetToken() == 0 {
		return 0
	}
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen.holder != old.GetHolder() || h.seen.renewal != old.GetRenewal() {
		h.seen = sighting{old.GetHolder(), old.GetRenewal(), now}
	}
	return certainlyEnded(longest(old)) - now.Sub(h.seen.since)
}

// longest returns the longest lease of the holder and of older ones that may
// not have ended.
func longest(v *dhpb.OrderLease) time.Duration {
	return time.Duration(max(v.GetLeaseMs(), v.GetOlderLeaseMs())) * time.Millisecond
}

func nameOf(v *dhpb.OrderLease) string {
	holder := v.GetHolder()
	for i := len(holder) - 1; i >= 0; i-- {
		if holder[i] == '/' {
			return holder[:i]
		}
	}
	return holder
}

func heldElsewhere(v *dhpb.OrderLease, wait time.Duration) error {
	err := dhcode.Errorf(dhcode.LeaseHeldElsewhere, "orders are given by %q with token %d", nameOf(v), v.GetToken())
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
