package dhrouter

import (
	"log/slog"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhlimit"
)

// hasRoom reports whether a backend server that may be brittle has room for a request.
func (r *Router) hasRoom(b *dhbackend.Backend) bool {
	if r.Brittle == nil {
		return true
	}
	if !r.Brittle.Known(b.Pool) {
		return true
	}
	rank, vms := r.Place()
	perSecond := r.Arrivals()[b.Pool] * float64(vms) / float64(max(len(r.Snapshot().Backends.Pool(b.Pool)), 1))
	return r.Brittle.Permits(b.Pool, b.ID, dhlimit.Load{Slots: b.Slots, Own: r.OwnLoad(b.ID), All: b.Running, PerSecond: perSecond}, rank, vms)
}

// recordBrittle records whether an answer states that its backend server is brittle, and a
// refusal for want of room.
func (f *forward) recordBrittle(in *Inbound, b *dhbackend.Backend) {
	r := f.router
	if r.Brittle == nil || in.AddressReused || (!in.Brittle.Stated && !in.Sealed && !in.NotRun) {
		return
	}
	if r.Brittle.Observe(f.poolName, in.Brittle.Refusals, in.Brittle.Stated) {
		r.Metrics.Count("brittle", "changed")
		r.Log.Info("backend servers of a pool are brittle", slog.String("pool", f.poolName), slog.String("backend", b.ID),
			slog.Bool("brittle", in.Brittle.Stated), slog.Float64("refusals", in.Brittle.Refusals), slog.String("request", f.message.ID))
	}
	if in.NotRun {
		r.Metrics.Count("brittle", "refused")
		_, vms := r.Place()
		r.Brittle.Refused(f.poolName, b.ID, vms)
	}
}
