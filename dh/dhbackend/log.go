package dhbackend

import (
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// Log is the registry of a control VM. It numbers changes, so that a watcher
// gets only what is new to it. It is safe for use by several goroutines; its
// exported fields are set before use.
//
// A record has two numbers: one for its content, which entry VMs watch, and
// one for its last announcement, which other control VMs watch, so that all of
// them know which backend servers are alive.
type Log struct {
	Timers dhtimer.Service
	// Lease is how long an announcement is valid, KeepLeaving how long a
	// backend server that has left is remembered, so that an announcement that
	// was held up does not bring it back.
	Lease, KeepLeaving time.Duration
	// MaxBackends bounds the records.
	MaxBackends int

	mu       sync.Mutex
	rows     map[string]*logRow
	position uint64
}

type logRow struct {
	record *dhpb.BackendRecord // immutable
	// content and touched are the positions of the last change of the content
	// and of the last announcement.
	content, touched uint64
	seen             time.Time
}

// Change says what an announcement did.
type Change struct {
	// Position is that of the record after the announcement.
	Position uint64
	// Content is set when entry VMs must learn of it, Left when the backend
	// server has begun to leave.
	Content, Left bool
}

// Announce applies an announcement that is AnnouncementAge old. Older ones
// than the known one have no effect. Codes: request-malformed, table-full.
func (l *Log) Announce(r *dhpb.BackendRecord) (Change, error) {
	now := l.Timers.Now()
	b, err := FromRecord(r, now)
	if err != nil {
		return Change{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[b.ID]
	if row == nil {
		return l.add(b, r)
	}
	old, err := FromRecord(row.record, row.seen)
	if err != nil {
		return Change{}, err // it was checked when it was added
	}
	if !newer(b, old) {
		return Change{Position: row.touched}, nil
	}
	return l.replace(row, old, b, r), nil
}

func (l *Log) add(b *Backend, r *dhpb.BackendRecord) (Change, error) {
	if len(l.rows) >= l.MaxBackends {
		return Change{}, dhcode.Errorf(dhcode.TableFull, "%d backend servers are announced, at most %d are kept", len(l.rows), l.MaxBackends)
	}
	if l.rows == nil {
		l.rows = make(map[string]*logRow)
	}
	l.position++
	l.rows[b.ID] = &logRow{record: r, content: l.position, touched: l.position, seen: b.Seen}
	l.supersede(b)
	return Change{Position: l.position, Content: true, Left: b.State == Leaving}, nil
}

func (l *Log) replace(row *logRow, old, b *Backend, r *dhpb.BackendRecord) Change {
	l.position++
	c := Change{Position: l.position, Content: !sameContent(old, b), Left: b.State == Leaving && old.State != Leaving}
	row.record, row.touched, row.seen = r, l.position, b.Seen
	if c.Content {
		row.content = l.position
		l.supersede(b)
	}
	return c
}

func sameContent(a, b *Backend) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Zone == b.Zone && a.Pool == b.Pool &&
		a.State == b.State && a.Slots == b.Slots && a.Release == b.Release && slices.Equal(a.Versions, b.Versions)
}

// supersede marks backend servers as left whose address a later start has taken over.
func (l *Log) supersede(b *Backend) {
	for id, row := range l.rows {
		r := row.record
		if id != b.ID && r.GetAddress() == b.Address && r.GetIncarnation() < b.Incarnation {
			l.markLeft(row, r.GetSequence())
		}
	}
}

func (l *Log) markLeft(row *logRow, sequence uint64) {
	if row.record.GetState() == Leaving.String() && row.record.GetSequence() == sequence {
		return
	}
	r := proto.CloneOf(row.record)
	r.State, r.Sequence = Leaving.String(), sequence
	l.position++
	row.record, row.content, row.touched = r, l.position, l.position
}

// Remove notes that a backend server has left for good: no later announcement
// of the same start counts. An incarnation of 0 means the one that is known.
func (l *Log) Remove(id string, incarnation uint64) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[id]
	if row == nil || (incarnation != 0 && incarnation != row.record.GetIncarnation()) {
		return Change{}
	}
	row.seen = l.Timers.Now()
	l.markLeft(row, math.MaxUint64)
	return Change{Position: row.content, Content: true, Left: true}
}

// Expire marks backend servers as left that have not been announced for a
// lease, forgets those that left long ago, and reports whether anything changed.
func (l *Log) Expire() bool {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for id, row := range l.rows {
		silent := now.Sub(row.seen)
		leaving := row.record.GetState() == Leaving.String()
		switch {
		case leaving && silent > l.KeepLeaving:
			delete(l.rows, id)
		case !leaving && silent > l.Lease:
			l.markLeft(row, row.record.GetSequence())
			changed = true
		}
	}
	return changed
}

// Content returns the records whose content changed after a position, and the
// position up to which they are complete.
func (l *Log) Content(after uint64) (records []*dhpb.BackendRecord, position uint64) {
	return l.since(func(r *logRow) bool { return r.content > after })
}

// Touched returns the records that were announced after a position.
func (l *Log) Touched(after uint64) (records []*dhpb.BackendRecord, position uint64) {
	return l.since(func(r *logRow) bool { return r.touched > after })
}

func (l *Log) since(wanted func(r *logRow) bool) (records []*dhpb.BackendRecord, position uint64) {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		if !wanted(row) {
			continue
		}
		r := proto.CloneOf(row.record)
		r.AnnouncementAge = durationpb.New(now.Sub(row.seen))
		records = append(records, r)
	}
	return records, l.position
}

// Backends returns the backend servers that have not left.
func (l *Log) Backends() []*Backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Backend, 0, len(l.rows))
	for _, row := range l.rows {
		if b, err := FromRecord(row.record, row.seen); err == nil && b.State != Leaving {
			list = append(list, b)
		}
	}
	return list
}
