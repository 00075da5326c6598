package dhgrant

import (
	"time"
)

const (
	// maxLimits bounds the number of backend servers whose limits are kept.
	maxLimits = 10_000
	// endedRetention is how long the end of a limit is kept, so that an older
	// observation that arrives late does not bring the limit back.
	endedRetention = 30 * time.Second
)

// Limits holds the newest observation of each backend server that has stated a
// limit. The zero value is ready for use. It is not safe for concurrent use.
type Limits struct{ byBackend map[string]*known }

// known is the newest observation of one incarnation of a backend server.
type known struct {
	incarnation uint64
	Observation
	// since is when this VM learned of the present limit or of its end.
	since time.Time
}

// Observe applies an observation and reports what it changed. An observation of
// an earlier incarnation is ignored. An answer without a limit of a backend
// server that has stated none is not recorded.
func (l *Limits) Observe(id string, incarnation uint64, o Observation, now time.Time) Change {
	row := l.byBackend[id]
	if row == nil || row.incarnation < incarnation {
		return l.begin(id, incarnation, o, now)
	}
	if row.incarnation > incarnation {
		return Unchanged
	}
	before := row.Limit
	row.Observation = row.WithNewer(o)
	if row.Limit == before {
		return Unchanged
	}
	row.since = now
	switch {
	case !row.Limit.Stated:
		return Ended
	case !before.Stated:
		return Begun
	}
	return Changed
}

// begin records the first observation of an incarnation. A limit of an earlier
// one ends with it.
func (l *Limits) begin(id string, incarnation uint64, o Observation, now time.Time) Change {
	before := l.Get(id)
	delete(l.byBackend, id)
	if o.Limit.Stated && len(l.byBackend) < maxLimits {
		if l.byBackend == nil {
			l.byBackend = make(map[string]*known)
		}
		l.byBackend[id] = &known{incarnation: incarnation, Observation: o, since: now}
	}
	switch after := l.Get(id); {
	case after == before:
		return Unchanged
	case !after.Stated:
		return Ended
	case !before.Stated:
		return Begun
	}
	return Changed
}

// Get returns the limit of a backend server.
func (l *Limits) Get(id string) Limit {
	if row := l.byBackend[id]; row != nil {
		return row.Limit
	}
	return Limit{}
}

// Retain removes backend servers for which keep returns false, and limits that
// ended long ago.
func (l *Limits) Retain(now time.Time, keep func(id string, incarnation uint64) bool) {
	for id, row := range l.byBackend {
		if !keep(id, row.incarnation) || (!row.Limit.Stated && now.Sub(row.since) > endedRetention) {
			delete(l.byBackend, id)
		}
	}
}
