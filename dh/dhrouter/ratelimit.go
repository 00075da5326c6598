package dhrouter

import (
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhgrant"
)

// recordRateLimit records the rate limit that an answer states to a request sent
// at the given time. An answer that may come from elsewhere does not end a limit.
func (f *forward) recordRateLimit(in *Inbound, b *dhbackend.Backend, sent time.Time) {
	r := f.router
	if r.RateLimits == nil || in.AddressReused {
		return
	}
	if in.InvalidRateLimit {
		r.Metrics.Count("rate-limit", "invalid")
		r.Log.Warn("rate limit of backend server not read", slog.String("backend", b.ID), slog.String("request", f.message.ID),
			slog.String("limit", in.RateLimit.String()))
	}
	sameID := in.RequestID == f.message.ID
	own := (in.Sealed && sameID) || (in.NotRun && (sameID || in.RequestID == ""))
	if !in.RateLimit.Stated && (!own || in.InvalidRateLimit) {
		return
	}
	o := dhgrant.Observation{Limit: in.RateLimit, Sent: sent, Answered: r.Timers.Now()}
	change := r.RateLimits.Observe(b.ID, b.Incarnation, o)
	if change == dhgrant.Unchanged {
		return
	}
	r.Metrics.Count("rate-limit", change.String())
	r.Log.Info("rate limit of backend server", slog.String("backend", b.ID), slog.Uint64("incarnation", b.Incarnation),
		slog.String("change", change.String()), slog.String("limit", in.RateLimit.String()), slog.String("request", f.message.ID))
}
