package dhlease

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// setHeld records a lease that this VM holds since a write sent at sent.
func (h *Holder) setHeld(v *dhpb.OrderLease, sent time.Time) {
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held || h.leaseValue.GetToken() != v.GetToken() {
		h.acquired = now
		h.sent = sent
	}
	h.held, h.leaseValue = true, v
	if sent.After(h.sent) {
		h.sent = sent
	}
}

// Renew extends the lease, starting from the time before the request. Code
// fencing-token-old means that the lease is lost. Other errors leave it unchanged.
func (h *Holder) Renew(ctx context.Context) error {
	id, number := h.nextWrite()
	token, olderEnded, err := h.current()
	if err != nil {
		return err
	}
	v, sent, err := h.change(ctx, func(v *dhpb.OrderLease) bool {
		if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
			return false
		}
		v.Renewal = number
		v.LeaseMs = h.lease().Milliseconds()
		if olderEnded {
			v.QuietToken, v.OlderLeaseMs = token-1, 0
		}
		return true
	})
	if err != nil {
		return err
	}
	if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
		h.markLost(token)
		return dhcode.Errorf(dhcode.FencingTokenOld, "lease with token %d is lost to %q with token %d", token, vmNameOf(v), v.GetToken())
	}
	h.setHeld(v, sent)
	return nil
}

// Release releases the lease, so that another VM need not wait. The caller must
// have the responses to all its orders; MayOrder returns false from now on.
func (h *Holder) Release(ctx context.Context) error {
	id, _ := h.nextWrite()
	token, olderEnded, err := h.current()
	if err != nil {
		return err
	}
	h.markLost(token)
	// With a new ID, a delayed execution of this write cannot release a newer lease.
	h.mu.Lock()
	h.id = ""
	h.mu.Unlock()
	_, _, err = h.change(ctx, func(v *dhpb.OrderLease) bool {
		if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
			return false
		}
		v.Released = true
		if olderEnded {
			v.QuietToken, v.OlderLeaseMs = token-1, 0
		}
		return true
	})
	return err
}

func (h *Holder) change(ctx context.Context, f func(v *dhpb.OrderLease) bool) (*dhpb.OrderLease, time.Time, error) {
	sent := h.Timers.Now()
	value, err := h.Registers.Update(ctx, h.key(), func(value []byte) ([]byte, error) {
		v, err := h.decode(value)
		if err != nil || !f(v) {
			return value, err
		}
		return proto.Marshal(v)
	})
	if err != nil {
		return nil, sent, err
	}
	v, err := h.decode(value)
	return v, sent, err
}

// current returns the token, and whether all older leases have certainly ended.
func (h *Holder) current() (token uint64, olderEnded bool, err error) {
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held {
		return 0, false, dhcode.Errorf(dhcode.FencingTokenOld, "this VM does not hold the lease of pool %q", h.Pool)
	}
	return h.leaseValue.GetToken(), h.olderLeasesEnded(now), nil
}

func (h *Holder) markLost(token uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held && h.leaseValue.GetToken() == token {
		h.held = false
	}
}

// olderLeasesEnded reports whether every older lease has certainly ended. They
// began before this one was acquired, since only the current holder can renew.
func (h *Holder) olderLeasesEnded(now time.Time) bool {
	if h.leaseValue.GetQuietToken() == h.leaseValue.GetToken()-1 {
		return true
	}
	older := time.Duration(h.leaseValue.GetOlderLeaseMs()) * time.Millisecond
	return now.Sub(h.acquired) >= safeWait(older)
}

// Valid reports whether this VM holds the lease at the time now.
func (h *Holder) Valid(now time.Time) bool {
	_, ok := h.MayOrder(now, true)
	return ok
}

// MayOrder returns the fencing token, and whether an order may be sent at the
// time now to a backend server that checks the token, or to one that ignores it.
// The order must reach a backend server that ignores the token within Remaining.
func (h *Holder) MayOrder(now time.Time, checksFencing bool) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held || now.Sub(h.sent) >= h.lease() {
		return 0, false
	}
	return h.leaseValue.GetToken(), checksFencing || h.olderLeasesEnded(now)
}

// Remaining returns the remaining duration of the lease at the time now, or 0.
func (h *Holder) Remaining(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held {
		return 0
	}
	return max(0, h.lease()-now.Sub(h.sent))
}
