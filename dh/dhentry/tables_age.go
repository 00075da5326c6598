package dhentry

import (
	"context"
	"log/slog"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// tablesAgePeriod is the shortest time between two checks of the age of the tables.
const tablesAgePeriod = 100 * time.Millisecond

// tablesAge returns the time since the tables in force were last confirmed as the newest.
func (e *Entry) tablesAge() time.Duration {
	return e.Clock.Elapsed() - time.Duration(e.confirmedAt.Load())
}

// watchTablesAge logs when the tables in force have not been confirmed for longer than
// ApplyTime, and when they are confirmed again: in between, requests may be handled by a
// document that an acknowledged one has replaced.
func (e *Entry) watchTablesAge(ctx context.Context) error {
	var since time.Time
	for pause := e.ApplyTime; dhtimer.Sleep(ctx, e.Timers, pause) == nil; {
		version, age, now := e.documentVersion.Load(), e.tablesAge(), e.Timers.Now()
		pause = max(e.ApplyTime-age, tablesAgePeriod)
		switch tooOld := version > 0 && age > e.ApplyTime; {
		case tooOld && since.IsZero():
			since = now
			e.Metrics.Count("tables", "too-old")
			e.Log.Warn("tables too old", slog.Uint64("version", version), slog.Duration("age", age), slog.String("control", e.follower.Current()))
		case !tooOld && !since.IsZero():
			e.Log.Info("tables recent again", slog.Uint64("version", version), slog.Duration("after", now.Sub(since)),
				slog.String("control", e.follower.Current()))
			since = time.Time{}
		}
	}
	return nil
}
