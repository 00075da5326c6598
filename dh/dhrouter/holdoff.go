package dhrouter

import (
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhplacement"
)

// noteHoldOff notes what a backend server says about further requests. An answer
// of another one, which is at its address now, says nothing about it.
func (f *forward) noteHoldOff(in *Inbound, b *dhbackend.Backend) {
	r := f.router
	now := r.Timers.Now()
	if in.Moved {
		return
	}
	if in.Leaving && r.holdOffs.Leave(b.ID, b.Incarnation, now) {
		r.Metrics.Count("hold-off", "leaving")
		r.Log.Info("backend server says that it leaves", slog.String("backend", b.ID), slog.Uint64("incarnation", b.Incarnation),
			slog.String("request", f.message.ID))
	}
	if in.Pause > 0 {
		r.holdOffs.Pause(b.ID, b.Incarnation, now, in.Pause)
		r.Metrics.Count("hold-off", "pause")
		r.Log.Info("backend server asks for a pause", slog.String("backend", b.ID), slog.Uint64("incarnation", b.Incarnation),
			slog.String("request", f.message.ID), slog.Duration("pause", in.Pause))
	}
}

// choose places a request on a backend server that has not asked to be left
// alone. One whose pause has just ended gets a part of the requests, and all of
// them where nothing else is left.
func (r *Router) choose(s *Snapshot, req dhplacement.Request) (dhplacement.Placement, error) {
	now := r.Timers.Now()
	draw := 0.0
	if r.Random != nil {
		draw = r.Random()
	}
	permit := req.Permit
	held, ends := false, time.Time{}
	req.Permit = func(b *dhbackend.Backend) bool {
		if permit != nil && !permit(b) {
			return false
		}
		h := r.holdOffs.Of(b.ID, b.Incarnation)
		if h.Permits(now, draw) {
			return true
		}
		held = true
		if end := h.Ends(); ends.IsZero() || (!end.IsZero() && end.Before(ends)) {
			ends = end
		}
		return false
	}
	p, err := r.Placer.Place(s.Backends, req)
	if err == nil || !held {
		return p, err
	}
	draw, held, ends = 0, false, time.Time{}
	p, err = r.Placer.Place(s.Backends, req)
	if !held || dhcode.Of(err) != dhcode.NoBackend {
		return p, err
	}
	err = dhcode.Errorf(dhcode.PoolHeldOff, "all backend servers of pool %q that could serve the request leave or asked for a pause", req.Pool)
	if !ends.IsZero() {
		err = dhcode.WithRetryAfter(err, ends.Sub(now))
	}
	return dhplacement.Placement{}, err
}
