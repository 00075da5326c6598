package dhgrant

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhpb"
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
	before, row := l.Get(id), l.byBackend[id]
	switch {
	case row == nil || row.incarnation < incarnation:
		l.begin(id, incarnation, o, now)
	case row.incarnation == incarnation:
		row.Observation = row.WithNewer(o)
	}
	after := l.Get(id)
	if row := l.byBackend[id]; row != nil && after != before {
		row.since = now
	}
	return changeOf(before, after)
}

// begin records the first observation of an incarnation. A limit of an earlier
// one ends with it.
func (l *Limits) begin(id string, incarnation uint64, o Observation, now time.Time) {
	delete(l.byBackend, id)
	if !o.Limit.Stated || len(l.byBackend) >= maxLimits {
		return
	}
	if l.byBackend == nil {
		l.byBackend = make(map[string]*known)
	}
	l.byBackend[id] = &known{incarnation: incarnation, Observation: o, since: now}
}

func changeOf(before, after Limit) Change {
	switch {
	case before == after:
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

// Len returns the number of backend servers with an observation.
func (l *Limits) Len() int { return len(l.byBackend) }

// Retain removes backend servers for which keep returns false, and limits that
// ended long ago.
func (l *Limits) Retain(now time.Time, keep func(id string, incarnation uint64) bool) {
	for id, row := range l.byBackend {
		if !keep(id, row.incarnation) || (!row.Limit.Stated && now.Sub(row.since) > endedRetention) {
			delete(l.byBackend, id)
		}
	}
}

// Records returns the observations as messages.
func (l *Limits) Records(now time.Time) []*dhpb.BackendLimit {
	var list []*dhpb.BackendLimit
	for id, row := range l.byBackend {
		list = append(list, row.record(id, now))
	}
	return list
}

// Merge applies a message. An observation that is older than the time for which
// the end of a limit is kept does not begin a limit.
func (l *Limits) Merge(r *dhpb.BackendLimit, now time.Time) Change {
	o := observationOf(r, now)
	if l.byBackend[r.GetId()] == nil && now.Sub(o.Answered) > endedRetention {
		return Unchanged
	}
	return l.Observe(r.GetId(), r.GetIncarnation(), o, now)
}

func (k *known) record(id string, now time.Time) *dhpb.BackendLimit {
	r := &dhpb.BackendLimit{
		Id: id, Incarnation: k.incarnation,
		SentAge: durationpb.New(now.Sub(k.Sent)), AnsweredAge: durationpb.New(now.Sub(k.Answered)),
	}
	if k.Limit.Stated {
		r.PerSecond = &k.Limit.PerSecond
	}
	return r
}

func observationOf(r *dhpb.BackendLimit, now time.Time) Observation {
	return Observation{
		Limit: Limit{Stated: r.PerSecond != nil, PerSecond: r.GetPerSecond()},
		Sent:  now.Add(-r.GetSentAge().AsDuration()), Answered: now.Add(-r.GetAnsweredAge().AsDuration()),
	}
}

// put records a message in place of an earlier observation.
func (l *Limits) put(r *dhpb.BackendLimit, now time.Time) {
	if l.byBackend == nil {
		l.byBackend = make(map[string]*known)
	}
	l.byBackend[r.GetId()] = &known{incarnation: r.GetIncarnation(), Observation: observationOf(r, now), since: now}
}
