package dhentry

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// tablesAgePeriod is the time between two checks of the age of the tables.
const tablesAgePeriod = 100 * time.Millisecond

// watchTablesAge logs when the tables in force have not been confirmed for longer than
// ApplyTime, and when they are confirmed again: in between, requests may be handled by a
// document that an acknowledged one has replaced.
func (e *Entry) watchTablesAge(ctx context.Context) error {
	var since time.Time
	for dhtimer.Sleep(ctx, e.Timers, tablesAgePeriod) == nil {
		s, now := e.router.Snapshot(), e.Timers.Now()
		if s.Tables == nil || e.ApplyTime <= 0 {
			continue
		}
		switch recent := s.Lease.ConfirmedWithin(e.ApplyTime); {
		case !recent && since.IsZero():
			since = now
			e.Metrics.Count("tables", "too-old")
			e.Log.Warn("tables too old", slog.Uint64("version", s.Tables.Revision), slog.Duration("unconfirmed", e.ApplyTime),
				slog.String("control", e.follower.Current()))
		case recent && !since.IsZero():
			e.Log.Info("tables recent again", slog.Uint64("version", s.Tables.Revision), slog.Duration("after", now.Sub(since)),
				slog.String("control", e.follower.Current()))
			since = time.Time{}
		}
	}
	return nil
}
