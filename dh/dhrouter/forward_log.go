package dhrouter

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhplacement"
)

// logPlaced logs the inputs of the placement decision. "age" is the age of the
// load figures, "mean" the long-term mean of the load by other VMs in them, "residence" how
// long requests stay at such a backend server, and "uncertainty" the difference between
// costs that was decided at random; "sequence" is the number of the backend server's newest known
// announcement.
func (f *forward) logPlaced(p dhplacement.Placement, now time.Time) {
	b := p.Backend
	choice := "lowest-cost"
	if p.Randomized {
		choice = "randomized"
	}
	f.router.Metrics.Count("placed", choice)
	f.router.Log.LogAttrs(context.Background(), slog.LevelInfo, "placed", slog.String("request", f.message.ID),
		slog.String("session", f.message.Session), slog.String("route", f.route.Name),
		slog.Uint64("tables", f.router.Snapshot().Tables.Revision),
		slog.String("backend", b.ID), slog.String("zone", b.Zone), slog.String("release", b.Release), slog.String("state", b.State.String()),
		slog.Uint64("sequence", b.Sequence), slog.Duration("age", now.Sub(b.Seen)+b.ReportAge), slog.Float64("load", math.Round(p.Load*10)/10),
		slog.Float64("mean", math.Round(p.OthersMean*10)/10), slog.Duration("residence", p.Residence.Round(time.Millisecond)),
		slog.Duration("uncertainty", p.Uncertainty.Round(time.Microsecond)),
		slog.Int("cached-tokens", p.CachedTokens), slog.String("prefix", f.sharedPrefix()), slog.String("model", f.model), slog.Int("rank", f.rank),
		slog.Duration("left", f.limit-now.Sub(f.received)), slog.Int("send", f.sends+1),
		slog.String("zone-reason", p.ZoneReason.String()), slog.Float64("zone-share", math.Round(p.ZoneShare*100)/100),
		slog.Duration("zone-gain", p.ZoneGain), slog.Duration("zone-price", p.ZonePrice))
	f.router.Metrics.Count("placed-zone", p.ZoneReason.String())
}

// recordSend records that the request has been sent to a backend server, and logs it if the
// address has had the request before: by a send of this call, or by an earlier call of a
// caller that comes back with its id.
func (f *forward) recordSend(b *dhbackend.Backend) {
	now := f.router.Timers.Now()
	before, again := f.router.recentSends.put(f.account, f.message.ID, b.Address, recentSend{f.connection, f.received, now})
	if !again {
		return
	}
	by := "caller"
	if before.received.Equal(f.received) {
		by = "router"
	}
	f.router.Metrics.Count("sent-again", "by-"+by)
	f.router.Log.Info("request sent again to a backend server", slog.String("request", f.message.ID), slog.String("by", by),
		slog.String("backend", b.ID), slog.String("address", b.Address), slog.Any("connection", f.connection), slog.Int("send", f.sends+1),
		slog.Any("connection-before", before.connection), slog.Duration("since", now.Sub(before.seen)))
}

// sharedPrefix returns the hash of the longest prefix that other requests may
// share.
func (f *forward) sharedPrefix() string {
	if n := len(f.prefix); n > 1 {
		return strconv.FormatUint(f.prefix[n-2], 16)
	}
	return ""
}

// late reports whether the first event, or a pause between two events, exceeded
// the route's target.
func (f *forward) late() bool {
	r := f.route
	return (r.Objective > 0 && f.firstWriteDelay > r.Objective) || (r.MaxEventGap > 0 && f.longestPause > r.MaxEventGap)
}

// log writes the final log line of the request and updates its metrics.
func (f *forward) log(err error) {
	now := f.router.Timers.Now()
	took := now.Sub(f.received)
	name := ""
	if f.route != nil {
		name = f.route.Name
	}
	attrs := []slog.Attr{
		slog.String("request", f.message.ID), slog.String("account", f.account), slog.String("route", name),
		slog.String("pool", f.poolName), slog.Int("sends", f.sends), slog.Duration("took", took),
	}
	if f.backend != nil {
		attrs = append(attrs, slog.String("backend", f.backend.ID), slog.String("release", f.backend.Release), slog.Any("connection", f.connection))
	}
	if err == nil {
		f.router.Metrics.Observe(dhmetric.WholeAnswer, f.account, f.route.Class, took)
		f.router.Metrics.Count("answered", name)
		attrs = append(attrs, slog.Int("status", f.status), slog.String("model", f.model), slog.Int("events", f.events),
			slog.Duration("first", f.firstWriteDelay),
			slog.Duration("longest-pause", f.longestPause), slog.Bool("late", f.late()))
		f.router.Log.LogAttrs(context.Background(), slog.LevelInfo, "answered", attrs...)
		return
	}
	code := dhcode.Of(err)
	f.router.Metrics.Count("refused", code.String())
	attrs = append(attrs, slog.String("code", code.String()), slog.String("ran", dhcode.RanOf(err).String()),
		slog.Bool("begun", f.begun), slog.Duration("retry-after", dhcode.RetryAfterOf(err)), slog.String("error", err.Error()))
	f.router.Log.LogAttrs(context.Background(), slog.LevelWarn, "refused", attrs...)
}
