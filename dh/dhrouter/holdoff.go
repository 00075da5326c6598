package dhrouter

import (
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhplacement"
)

// recordHoldOff records that a backend server is leaving or asked for a pause. An
// answer from a different backend server that now uses the address is ignored.
func (f *forward) recordHoldOff(in *Inbound, b *dhbackend.Backend) {
	r := f.router
	now := r.Timers.Now()
	if in.AddressReused {
		return
	}
	if in.Leaving && r.holdOffs.RecordLeave(b.ID, b.Incarnation, now) {
		r.Metrics.Count("hold-off", "leaving")
		r.Log.Info("backend server announced that it is leaving", slog.String("backend", b.ID), slog.Uint64("incarnation", b.Incarnation),
			slog.String("request", f.message.ID))
	}
	if in.Pause > 0 {
		r.holdOffs.RecordPause(b.ID, b.Incarnation, now, in.Pause)
		r.Metrics.Count("hold-off", "pause")
		r.Log.Info("backend server requested a pause", slog.String("backend", b.ID), slog.Uint64("incarnation", b.Incarnation),
			slog.String("request", f.message.ID), slog.Duration("pause", in.Pause))
	}
}

// placeOutsideHoldOffs places a request on a backend server that is not in a
// hold-off. A backend server whose pause has just ended receives a fraction of
// the requests, or all of them if no other one is available.
func (r *Router) placeOutsideHoldOffs(s *Snapshot, req dhplacement.Request) (dhplacement.Placement, error) {
	now := r.Timers.Now()
	draw := 0.0
	if r.Random != nil {
		draw = r.Random()
	}
	permit := req.Permit
	heldOff, earliestEnd := false, time.Time{}
	req.Permit = func(b *dhbackend.Backend) bool {
		if permit != nil && !permit(b) {
			return false
		}
		h := r.holdOffs.Get(b.ID, b.Incarnation)
		if h.Permits(now, draw) {
			return true
		}
		heldOff = true
		if end := h.Ends(); earliestEnd.IsZero() || (!end.IsZero() && end.Before(earliestEnd)) {
			earliestEnd = end
		}
		return false
	}
	p, err := r.Placer.Place(s.Backends, req)
	if err == nil || !heldOff {
		return p, err
	}
	draw, heldOff, earliestEnd = 0, false, time.Time{}
	p, err = r.Placer.Place(s.Backends, req)
	if !heldOff || dhcode.Of(err) != dhcode.NoBackend {
		return p, err
	}
	err = dhcode.Errorf(dhcode.PoolHeldOff, "all backend servers of pool %q that could serve the request leave or asked for a pause", req.Pool)
	if !earliestEnd.IsZero() {
		err = dhcode.WithRetryAfter(err, earliestEnd.Sub(now))
	}
	return dhplacement.Placement{}, err
}
