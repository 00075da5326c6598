package dhbackend

import (
	"math"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

// Covers reports whether a departure ends an announcement of its backend server with an
// incarnation and a sequence number.
func Covers(d *dhpb.Departure, incarnation, sequence uint64) bool {
	return incarnation < d.GetIncarnation() || (incarnation == d.GetIncarnation() && sequence <= d.GetSequence())
}

// departures holds the newest departure of each backend server that has left.
type departures struct {
	byID map[string]*departure
	// recent holds those learned within the retention of the registry, by position.
	recent []*departure
}

type departure struct {
	HeldDeparture
	position uint64
	learned  time.Time
}

// HeldDeparture is a departure and what this VM knows about its durability.
type HeldDeparture struct {
	Message *dhpb.Departure // immutable
	// Since is the sequence number from which on all announcements of the incarnation have
	// said that it leaves. A durable departure that covers it is enough.
	Since uint64
	// Own is set if this VM must make the departure durable, Durable once it is.
	Own, Durable bool
}

func (s *departures) cover(id string, incarnation, sequence uint64) bool {
	d := s.byID[id]
	return d != nil && Covers(d.Message, incarnation, sequence)
}

// after returns the recent departures after a position.
func (s *departures) after(position uint64) []*departure {
	first := len(s.recent)
	for first > 0 && s.recent[first-1].position > position {
		first--
	}
	return s.recent[first:]
}

// prune removes departures learned before a time from recent and returns the position of
// the newest of them.
func (s *departures) prune(before time.Time) (position uint64) {
	n := 0
	for n < len(s.recent) && s.recent[n].learned.Before(before) {
		position = s.recent[n].position
		n++
	}
	s.recent = slices.Delete(s.recent, 0, n)
	return position
}

// evictedFraction is the part of the departures that is removed when there are too many.
const evictedFraction = 0.05

// evict removes the oldest departures if there are more than limit.
func (s *departures) evict(limit int) {
	if limit <= 0 || len(s.byID) <= limit {
		return
	}
	times := make([]int64, 0, len(s.byID))
	for _, d := range s.byID {
		times = append(times, d.Message.GetLeftAt())
	}
	slices.Sort(times)
	last := times[int(evictedFraction*float64(len(times)))]
	for id, d := range s.byID {
		if d.Message.GetLeftAt() <= last {
			delete(s.byID, id)
		}
	}
}

// depart applies a departure. own is set if this VM acknowledges it.
func (l *Registry) depart(message *dhpb.Departure, own bool) Change {
	id := message.GetId()
	before := l.departures.byID[id]
	if before != nil && Covers(before.Message, message.GetIncarnation(), message.GetSequence()) {
		before.Own = before.Own || own
		return Change{Position: before.position, Content: l.endCovered(before.Message)}
	}
	now := l.Timers.Now()
	if message.GetLeftAt() == 0 {
		message.LeftAt = now.UnixMilli()
	}
	row := l.entries[id]
	d := &departure{HeldDeparture: HeldDeparture{Message: message, Since: message.GetSequence(), Own: own}, learned: now}
	leaving := row != nil && row.expired == nil && row.record.GetState() == Leaving.String()
	if leaving && before != nil && before.Message.GetIncarnation() == message.GetIncarnation() {
		d.Since, d.Durable = before.Since, before.Durable
	}
	l.endCovered(message)
	l.position++
	d.position = l.position
	if l.departures.byID == nil {
		l.departures.byID = make(map[string]*departure)
	}
	l.departures.byID[id] = d
	if now.Sub(time.UnixMilli(message.GetLeftAt())) <= l.KeepLeaving {
		l.departures.recent = append(l.departures.recent, d)
	}
	l.departures.evict(l.MaxDepartures)
	return Change{Position: l.position, Content: true, Left: true}
}

// departLeaving records the departure of a backend server that has announced to this VM
// that it leaves, unless an earlier announcement said so.
func (l *Registry) departLeaving(b *Backend, c *Change) {
	row := l.entries[b.ID]
	if row.record.GetState() != Leaving.String() || row.record.GetIncarnation() != b.Incarnation {
		return // a later announcement says otherwise
	}
	before := l.departures.byID[b.ID]
	if before != nil && before.Message.GetIncarnation() >= b.Incarnation && !c.Left {
		return
	}
	position := l.depart(&dhpb.Departure{Id: b.ID, Incarnation: b.Incarnation, Sequence: b.Sequence}, true).Position
	c.Position, c.Left = max(c.Position, position), true
}

// endCovered marks the record that a departure covers as left and reports whether it did.
func (l *Registry) endCovered(d *dhpb.Departure) bool {
	row := l.entries[d.GetId()]
	if row == nil || !Covers(d, row.record.GetIncarnation(), row.record.GetSequence()) {
		return false
	}
	before := l.position
	sequence := row.record.GetSequence()
	if d.GetIncarnation() == row.record.GetIncarnation() {
		sequence = d.GetSequence()
	}
	l.markLeft(row, sequence)
	return l.position > before
}

// Depart applies a departure learned from another VM or from the durable state. own is set
// if this VM must make it durable.
func (l *Registry) Depart(d *dhpb.Departure, own bool) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.depart(d, own)
}

// Restore applies a departure that is durable.
func (l *Registry) Restore(d *dhpb.Departure) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.depart(d, false)
	l.markDurable(d)
	return c
}

// Departure returns the departure of a backend server; held is false if there is none.
func (l *Registry) Departure(id string) (d HeldDeparture, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.departures.byID[id]; d != nil {
		return d.HeldDeparture, true
	}
	return HeldDeparture{}, false
}

// MarkDurable records that a departure is durable.
func (l *Registry) MarkDurable(d *dhpb.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markDurable(d)
}

func (l *Registry) markDurable(d *dhpb.Departure) {
	if held := l.departures.byID[d.GetId()]; held != nil && Covers(d, held.Message.GetIncarnation(), held.Since) {
		held.Durable = true
	}
}

// Unsettled returns up to limit departures that this VM must make durable and learned
// before a time.
func (l *Registry) Unsettled(before time.Time, limit int) []*dhpb.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*dhpb.Departure
	for _, d := range l.departures.recent {
		if len(list) == limit {
			break
		}
		if d.Own && !d.Durable && d.learned.Before(before) && l.departures.byID[d.Message.GetId()] == d {
			list = append(list, d.Message)
		}
	}
	return list
}

// Departures returns the recent departures after a position.
func (l *Registry) Departures(after uint64) []*dhpb.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return messages(l.departures.after(after))
}

// DeparturesSince returns the recent departures learned since a time.
func (l *Registry) DeparturesSince(from time.Time) []*dhpb.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.departures.recent
	first := len(recent)
	for first > 0 && !recent[first-1].learned.Before(from) {
		first--
	}
	return messages(recent[first:])
}

func messages(departures []*departure) []*dhpb.Departure {
	var list []*dhpb.Departure
	for _, d := range departures {
		list = append(list, d.Message)
	}
	return list
}

// Depart marks a backend server of the table as left if a departure covers its record.
func (t *Table) Depart(d *dhpb.Departure) (changed bool) {
	b := t.backends[d.GetId()]
	if b == nil || b.State == Leaving || !Covers(d, b.Incarnation, b.Sequence) {
		return false
	}
	left := *b
	left.State = Leaving
	if d.GetIncarnation() == b.Incarnation {
		left.Sequence = d.GetSequence()
	} else {
		left.Sequence = math.MaxUint64
	}
	t.backends[b.ID] = &left
	return true
}
