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

// Registry is the registry of backend servers of a control VM. It assigns positions
// to changes, so that a watcher receives only changes after its position. It is
// safe for concurrent use; its exported fields are set before use.
//
// A record has two positions: one of its last content change, which is sent to
// all watchers, and one of its last announcement. Announcements that do not
// change the content are sent to other control VMs as renewals, so that all of
// them know which backend servers are alive.
type Registry struct {
	Timers dhtimer.Service
	// Lease is how long an announcement is valid. KeepLeaving is how long the
	// record of a backend server that has left is kept, so that a delayed
	// announcement does not add the backend server again.
	Lease, KeepLeaving time.Duration
	// MaxBackends bounds the number of records, MaxDepartures that of departures.
	MaxBackends, MaxDepartures int

	mu       sync.Mutex
	entries  map[string]*registryEntry
	position uint64
	// forgotten is the highest position of a removed record or departure.
	forgotten  uint64
	departures departures
}

type registryEntry struct {
	record *dhpb.BackendRecord // immutable
	// expired is the record as it was before its lease ended; nil while the lease is valid.
	expired *dhpb.BackendRecord
	// source is the control VM that the last announcement was received from;
	// empty if the backend server announced itself to this VM.
	source string
	// content and announced are the positions of the last change of the content
	// and of the last announcement.
	content, announced uint64
	seen               time.Time
}

// Change is the effect of an announcement on the registry.
type Change struct {
	// Position is the position of the record after the announcement.
	Position uint64
	// Content is set if the content changed, which entry VMs must receive. Left is
	// set if the backend server has started to leave.
	Content, Left bool
	// Departed is set if the announcement came after the leave that it precedes, and
	// therefore has no effect.
	Departed bool
}

// Announce applies an announcement of a backend server. An announcement that is
// not newer than the stored one has no effect. The age of the announcement is
// taken from AnnouncementAge. Error codes: request-malformed, table-full.
func (l *Registry) Announce(r *dhpb.BackendRecord) (Change, error) { return l.AddForwarded(r, "") }

// AddForwarded applies an announcement that the control VM source has forwarded.
func (l *Registry) AddForwarded(r *dhpb.BackendRecord, source string) (Change, error) {
	b, err := FromRecord(r, l.Timers.Now())
	if err != nil {
		return Change{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.State != Leaving && l.departures.cover(b.ID, b.Incarnation, b.Sequence) {
		return Change{Position: l.position, Departed: true}, nil
	}
	c, err := l.apply(b, r, source)
	if err == nil && b.State == Leaving && source == "" {
		l.departLeaving(b, &c)
	}
	return c, err
}

func (l *Registry) apply(b *Backend, r *dhpb.BackendRecord, source string) (Change, error) {
	row := l.entries[b.ID]
	if row == nil {
		return l.add(b, r, source)
	}
	old, err := FromRecord(row.record, row.seen)
	if err != nil {
		return Change{}, err // not expected: the record was validated when it was added
	}
	if !newer(b, old) {
		return Change{Position: row.announced}, nil
	}
	return l.replace(row, old, b, r, source), nil
}

// Renew applies a renewal, an announcement without a content change that the
// control VM source has forwarded. It returns the record if its lease had ended
// and is valid again. A renewal of an unknown incarnation has no effect, since
// the content of a new incarnation is always sent first.
func (l *Registry) Renew(n *dhpb.BackendRenewal, source string) (returned *dhpb.BackendRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.entries[n.GetId()]
	if row == nil || row.record.GetIncarnation() != n.GetIncarnation() || n.GetSequence() <= row.record.GetSequence() ||
		l.departures.cover(n.GetId(), n.GetIncarnation(), n.GetSequence()) {
		return nil
	}
	r := proto.CloneOf(cmp.Or(row.expired, row.record))
	r.Sequence = n.GetSequence()
	l.position++
	if row.expired != nil {
		row.content, returned = l.position, r
	}
	row.record, row.expired, row.source, row.announced = r, nil, source, l.position
	row.seen = l.Timers.Now().Add(-max(n.GetAge().AsDuration(), 0))
	return returned
}

func (l *Registry) add(b *Backend, r *dhpb.BackendRecord, source string) (Change, error) {
	if len(l.entries) >= l.MaxBackends {
		return Change{}, dhcode.Errorf(dhcode.TableFull, "%d backend servers are announced, at most %d are kept", len(l.entries), l.MaxBackends)
	}
	if l.entries == nil {
		l.entries = make(map[string]*registryEntry)
	}
	l.position++
	l.entries[b.ID] = &registryEntry{record: r, source: source, content: l.position, announced: l.position, seen: b.Seen}
	l.supersede(b)
	return Change{Position: l.position, Content: true, Left: b.State == Leaving}, nil
}

func (l *Registry) replace(row *registryEntry, old, b *Backend, r *dhpb.BackendRecord, source string) Change {
	l.position++
	c := Change{Position: l.position, Content: !sameContent(old, b), Left: b.State == Leaving && old.State != Leaving}
	row.record, row.expired, row.source, row.announced, row.seen = r, nil, source, l.position, b.Seen
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

// supersede marks backend servers as left whose address is now used by b with a
// later incarnation.
func (l *Registry) supersede(b *Backend) {
	for id, row := range l.entries {
		r := row.record
		if id != b.ID && r.GetAddress() == b.Address && r.GetIncarnation() < b.Incarnation {
			l.markLeft(row, r.GetSequence())
		}
	}
}

func (l *Registry) markLeft(row *registryEntry, sequence uint64) {
	if row.record.GetState() == Leaving.String() && row.record.GetSequence() == sequence {
		return
	}
	r := proto.CloneOf(row.record)
	r.State, r.Sequence = Leaving.String(), sequence
	l.position++
	row.record, row.expired, row.content, row.announced = r, nil, l.position, l.position
}

// Remove marks a backend server as permanently left: later announcements of the
// same incarnation, and of earlier ones, have no effect, whether it is known or not. An
// incarnation of 0 stands for the known one; without one, Remove does nothing and returns
// false.
func (l *Registry) Remove(id string, incarnation uint64) (Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.entries[id]
	if incarnation == 0 {
		if row == nil {
			return Change{}, false
		}
		incarnation = row.record.GetIncarnation()
	}
	if row != nil && incarnation == row.record.GetIncarnation() {
		row.seen = l.Timers.Now()
	}
	return l.depart(&dhpb.Departure{Id: id, Incarnation: incarnation, Sequence: math.MaxUint64}, true), true
}

// Expire marks backend servers as left that have not been announced for longer
// than Lease, deletes the records of those that left longer than KeepLeaving
// ago, and reports whether it marked any.
func (l *Registry) Expire() bool {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for id, row := range l.entries {
		age := now.Sub(row.seen)
		leaving := row.record.GetState() == Leaving.String()
		switch {
		case leaving && age > l.KeepLeaving:
			l.forgotten = max(l.forgotten, row.content)
			delete(l.entries, id)
		case !leaving && age > l.Lease:
			before := row.record
			l.markLeft(row, before.GetSequence())
			row.expired = before
			changed = true
		}
	}
	l.forgotten = max(l.forgotten, l.departures.prune(now.Add(-l.KeepLeaving)))
	return changed
}

// Forgotten returns the position from which on Content and Departures are complete. A
// watcher with an earlier one needs the whole content.
func (l *Registry) Forgotten() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}

// Content returns the records whose content changed after a position, and the
// position up to which they are complete.
func (l *Registry) Content(after uint64) (records []*dhpb.BackendRecord, position uint64) {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.entries {
		if row.content > after {
			records = append(records, row.withAge(now))
		}
	}
	return records, l.position
}

// Renewals returns the announcements after a position of records whose content
// did not change after it. It leaves out those received from a control VM that
// the caller receives from directly, as reported by receivesFrom. Announcements of
// backend servers that leave are returned as whole records: the lease of the record
// may have ended elsewhere, where a renewal would return the backend server to the
// state before.
func (l *Registry) Renewals(after uint64, receivesFrom func(source string) bool) (renewals []*dhpb.BackendRenewal, leaving []*dhpb.BackendRecord) {
	now := l.Timers.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, row := range l.entries {
		if row.announced <= after || row.content > after || (row.source != "" && receivesFrom(row.source)) {
			continue
		}
		if row.record.GetState() == Leaving.String() {
			leaving = append(leaving, row.withAge(now))
			continue
		}
		renewals = append(renewals, &dhpb.BackendRenewal{
			Id: id, Incarnation: row.record.GetIncarnation(), Sequence: row.record.GetSequence(), Age: durationpb.New(now.Sub(row.seen)),
		})
	}
	return renewals, leaving
}

// HasContent reports whether the content of a record changed, or a departure was learned,
// after a position.
func (l *Registry) HasContent(after uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.departures.after(after)) > 0 {
		return true
	}
	for _, row := range l.entries {
		if row.content > after {
			return true
		}
	}
	return false
}

func (r *registryEntry) withAge(now time.Time) *dhpb.BackendRecord {
	record := proto.CloneOf(r.record)
	record.AnnouncementAge = durationpb.New(now.Sub(r.seen))
	return record
}

// AnnouncedSince reports whether an incarnation of a backend server that has not left has
// announced itself after a time.
func (l *Registry) AnnouncedSince(id string, incarnation uint64, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.entries[id]
	return row != nil && row.record.GetState() != Leaving.String() && row.record.GetIncarnation() == incarnation && row.seen.After(at)
}

// Size returns the number of backend servers of a pool that have not left.
func (l *Registry) Size(pool string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, row := range l.entries {
		if row.record.GetPool() == pool && row.record.GetState() != Leaving.String() {
			n++
		}
	}
	return n
}

// Backends returns the backend servers that have not left.
func (l *Registry) Backends() []*Backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Backend, 0, len(l.entries))
	for _, row := range l.entries {
		if b, err := FromRecord(row.record, row.seen); err == nil && b.State != Leaving {
			list = append(list, b)
		}
	}
	return list
}
