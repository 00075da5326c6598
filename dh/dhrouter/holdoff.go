package dhrouter

import (
	"log/slog"

	"dandelionhoist.example/dh/dhbackend"
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
