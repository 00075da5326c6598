package dhbackend

import (
	"cmp"
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
// A record has two numbers: one for its content, which all watchers get, and
// one for its last announcement. Other control VMs get announcements that
// change nothing as renewals, so that all of them know which backend servers
// are alive.
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
	// expired is the record before its lease ended; nil while it is valid.
	expired *dhpb.BackendRecord
	// source is the control VM that the last announcement was learned from;
	// empty when this VM heard it.
	source string
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
func (l *Log) Announce(r *dhpb.BackendRecord) (Change, error) { return l.Learn(r, "") }

// Learn applies an announcement that another control VM has told.
func (l *Log) Learn(r *dhpb.BackendRecord, source string) (Change, error) {
	b, err := FromRecord(r, l.Timers.Now())
	if err != nil {
		return Change{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[b.ID]
	if row == nil {
		return l.add(b, r, source)
	}
	old, err := FromRecord(row.record, row.seen)
	if err != nil {
		return Change{}, err // it was checked when it was added
	}
	if !newer(b, old) {
		return Change{Position: row.touched}, nil
	}
	return l.replace(row, old, b, r, source), nil
}

// Renew applies an announcement that changes nothing, which another control VM
// has told. It returns the record if that is valid again after its lease had
// ended. A renewal of a start that is not known has no effect, since its
// content is told first.
func (l *Log) Renew(n *dhpb.BackendRenewal, source string) (returned *dhpb.BackendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[n.GetId()]
	if row == nil || row.record.GetIncarnation() != n.GetIncarnation() || n.GetSequence() <= row.record.GetSequence() {
		return nil
	}
	r := proto.CloneOf(cmp.Or(row.expired, row.record))
	r.Sequence = n.GetSequence()
	l.position++
	if row.expired != nil {
		row.content, returned = l.position, r
	}
	row.record, row.expired, row.source, row.touched = r, nil, source, l.position
	row.seen = l.Timers.Now().Add(-n.GetAge().AsDuration())
	return returned
}

func (l *Log) add(b *Backend, r *dhpb.BackendRecord, source string) (Change, error) {
	if len(l.rows) >= l.MaxBackends {
		return Change{}, dhcode.Errorf(dhcode.TableFull, "%d backend servers are announced, at most %d are kept", len(l.rows), l.MaxBackends)
	}
	if l.rows == nil {
		l.rows = make(map[string]*logRow)
	}
	l.position++
	l.rows[b.ID] = &logRow{record: r, source: source, content: l.position, touched: l.position, seen: b.Seen}
	l.supersede(b)
	return Change{Position: l.position, Content: true, Left: b.State == Leaving}, nil
}

func (l *Log) replace(row *logRow, old, b *Backend, r *dhpb.BackendRecord, source string) Change {
	l.position++
	c := Change{Position: l.position, Content: !sameContent(old, b), Left: b.State == Leaving && old.State != Leaving}
	row.record, row.expired, row.source, row.touched, row.seen = r, nil, source, l.position, b.Seen
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
	row.record, row.expired, row.content, row.touched = r, nil, l.position, l.position
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
			before := row.record
			l.markLeft(row, before.GetSequence())
			row.expired = before
			changed = true
		}
	}
	return changed
}

// Content returns the records whose content changed after a position, and the
// position up to which they are complete.
func (l *Log) Content(after uint64) (records []*dhpb.BackendRecord, position uint64) {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		if row.content > after {
			records = append(records, row.withAge(now))
		}
	}
	return records, l.position
}

// Renewals returns the announcements after a position whose content did not
// change after it, without those that were learned from a control VM of which
// heard reports that the caller hears it itself.
func (l *Log) Renewals(after uint64, heard func(source string) bool) []*dhpb.BackendRenewal {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var renewals []*dhpb.BackendRenewal
	for id, row := range l.rows {
		if row.touched <= after || row.content > after || (row.source != "" && heard(row.source)) {
			continue
		}
		renewals = append(renewals, &dhpb.BackendRenewal{
			Id: id, Incarnation: row.record.GetIncarnation(), Sequence: row.record.GetSequence(), Age: durationpb.New(now.Sub(row.seen)),
		})
	}
	return renewals
}

// HasContent reports whether the content of a record changed after a position.
func (l *Log) HasContent(after uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		if row.content > after {
			return true
		}
	}
	return false
}

func (r *logRow) withAge(now time.Time) *dhpb.BackendRecord {
	record := proto.CloneOf(r.record)
	record.AnnouncementAge = durationpb.New(now.Sub(r.seen))
	return record
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
