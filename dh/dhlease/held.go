package dhlease

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// hold notes a lease that is in force since a write that was sent at sent.
func (h *Holder) hold(v *dhpb.OrderLease, sent time.Time) {
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held || h.mine.GetToken() != v.GetToken() {
		h.acquired = now
		h.sent = sent
	}
	h.held, h.mine = true, v
	if sent.After(h.sent) {
		h.sent = sent
	}
}

// Renew extends the lease from before it is asked for. Code fencing-token-old:
// the lease is lost. Other codes leave it as it was.
func (h *Holder) Renew(ctx context.Context) error {
	id, number := h.write()
	token, quiet, err := h.current()
	if err != nil {
		return err
	}
	v, sent, err := h.change(ctx, func(v *dhpb.OrderLease) bool {
		if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
			return false
		}
		v.Renewal = number
		v.LeaseMs = h.lease().Milliseconds()
		if quiet {
			v.QuietToken, v.OlderLeaseMs = token-1, 0
		}
		return true
	})
	if err != nil {
		return err
	}
	if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
		h.drop(token)
		return dhcode.Errorf(dhcode.FencingTokenOld, "lease with token %d is lost to %q with token %d", token, nameOf(v), v.GetToken())
	}
	h.hold(v, sent)
	return nil
}

// Release gives the lease up, so that another VM need not wait. The caller has
// the answers to all its orders; MayOrder refuses from now on.
func (h *Holder) Release(ctx context.Context) error {
	id, _ := h.write()
	token, quiet, err := h.current()
	if err != nil {
		return err
	}
	h.drop(token)
	// A new name: should this write take effect late, it releases nothing newer.
	h.mu.Lock()
	h.id = ""
	h.mu.Unlock()
	_, _, err = h.change(ctx, func(v *dhpb.OrderLease) bool {
		if v.GetHolder() != id || v.GetToken() != token || v.GetReleased() {
			return false
		}
		v.Released = true
		if quiet {
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
func (h *Holder) current() (token uint64, quiet bool, err error) {
	now := h.Timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held {
		return 0, false, dhcode.Errorf(dhcode.FencingTokenOld, "this VM does not hold the lease of pool %q", h.Pool)
	}
	return h.mine.GetToken(), h.quiet(now), nil
}

func (h *Holder) drop(token uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held && h.mine.GetToken() == token {
		h.held = false
	}
}

// quiet reports whether every older lease has certainly ended. They began
// before this one was acquired, since only the current holder can renew.
func (h *Holder) quiet(now time.Time) bool {
	if h.mine.GetQuietToken() == h.mine.GetToken()-1 {
		return true
	}
	older := time.Duration(h.mine.GetOlderLeaseMs()) * time.Millisecond
	return now.Sub(h.acquired) >= certainlyEnded(older)
}

// Valid reports whether this VM holds the lease at now.
func (h *Holder) Valid(now time.Time) bool {
	_, ok := h.MayOrder(now, true)
	return ok
}

// MayOrder returns the fencing token when an order may be given at now to a
// backend server that checks the token, or to one that ignores it. The order
// must reach a backend server that ignores the token within Left.
func (h *Holder) MayOrder(now time.Time, checksFencing bool) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held || now.Sub(h.sent) >= h.lease() {
		return 0, false
	}
	return h.mine.GetToken(), checksFencing || h.quiet(now)
}

// Left returns how long the lease is still valid at now, or 0.
func (h *Holder) Left(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held {
		return 0
	}
	return max(0, h.lease()-now.Sub(h.sent))
}
