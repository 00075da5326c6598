package dhmember

import (
	"math/bits"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

// merge applies the member records of a message. The caller holds the lock.
func (m *Members) merge(msg *dhpb.GossipMessage, now time.Time) {
	bulk := m.bulk(msg)
	for _, r := range msg.GetMembers() {
		if r.GetName() == m.self.Name {
			m.refute(r)
			continue
		}
		direct := r.GetName() == msg.GetFrom()
		m.apply(r, direct, bulk && !direct, now)
	}
	if row := m.rows[msg.GetFrom()]; row != nil {
		row.heard = now
	}
	if m.self.Incarnation == 0 && msg.GetFrom() != m.self.Name {
		m.nextList = now
		m.self.Incarnation = 1 + m.rnd.Uint64N(1<<16)
	}
	if m.dirty {
		m.publish()
	}
	if msg.GetFrom() == m.self.Name {
		return
	}
	select {
	case <-m.joined:
	default:
		m.publish()
		close(m.joined)
	}
}

// bulk says whether a message carries a page or all records.
func (m *Members) bulk(msg *dhpb.GossipMessage) bool { return len(msg.GetMembers()) > m.MaxDeltas+2 }

// refute answers a record about the own VM that is newer or wrong with a
// higher incarnation.
func (m *Members) refute(r *dhpb.MemberRecord) {
	m.noteVoter(r.GetVoterId(), r.GetVoterSequence())
	if m.left {
		return
	}
	state, ok := parseState(r.GetState())
	if !ok || r.GetIncarnation() == 0 || r.GetIncarnation() < m.self.Incarnation {
		return
	}
	same := r.GetIncarnation() == m.self.Incarnation && state == Alive && r.GetAddress() == m.self.Address
	if same {
		return
	}
	if m.self.Incarnation == 0 {
		m.nextList = m.Timers.Now()
	}
	m.self.Incarnation = r.GetIncarnation() + 1
	m.dirty = true
	m.Logger.Info("refuted", "state", state, "incarnation", m.self.Incarnation)
}

// apply merges a record about another member. Records at incarnation 0 come
// from VMs that do not know their incarnation yet. An unknown member in a bulk
// message is not passed on as news: a VM that starts would send everyone the
// whole list.
func (m *Members) apply(r *dhpb.MemberRecord, direct, bulk bool, now time.Time) {
	state, ok := parseState(r.GetState())
	if !ok || r.GetName() == "" || r.GetIncarnation() == 0 {
		return
	}
	m.noteVoter(r.GetVoterId(), r.GetVoterSequence())
	cur := m.rows[r.GetName()]
	if cur == nil {
		if state <= Suspect && r.GetAddress() != "" && m.makeRoom() {
			m.add(&row{Member: memberOf(r, state), since: now}, !bulk)
		}
		return
	}
	newer := r.GetIncarnation() > cur.Incarnation
	if newer && r.GetAddress() != "" {
		cur.Member = memberOf(r, state)
		m.changed(cur, state, now)
		return
	}
	if newer || r.GetIncarnation() == cur.Incarnation && state > cur.State {
		cur.Incarnation = r.GetIncarnation()
		m.changed(cur, state, now)
	}
	if r.GetIncarnation() != cur.Incarnation {
		return
	}
	old := cur.Member
	cur.Revision = max(cur.Revision, r.GetRevision())
	cur.VoterSequence = max(cur.VoterSequence, r.GetVoterSequence())
	if direct {
		cur.InFlight = int(r.GetInFlight())
		cur.VoterID = r.GetVoterId()
	}
	m.stale = m.stale || cur.Member != old
}

func (m *Members) noteVoter(id string, sequence uint64) {
	if _, known := m.voters[id]; id == "" || !known && len(m.voters) >= m.maxVoters {
		return
	}
	m.voters[id] = max(m.voters[id], sequence)
}

func (m *Members) add(r *row, news bool) {
	i, _ := slices.BinarySearch(m.names, r.Name)
	m.names = slices.Insert(m.names, i, r.Name)
	m.rows[r.Name] = r
	m.dirty = true
	if news {
		m.changed(r, r.State, r.since)
	}
}

func (m *Members) remove(name string) {
	if i, found := slices.BinarySearch(m.names, name); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
	r := m.rows[name]
	delete(m.rows, name)
	m.news = slices.DeleteFunc(m.news, func(other *row) bool { return other == r })
	m.dirty = true
}

// makeRoom says whether a member can be added; the one that has been dead or
// left for longest is removed from a full table.
func (m *Members) makeRoom() bool {
	if len(m.rows) < m.MaxMembers {
		return true
	}
	var oldest *row
	for _, name := range m.names {
		if r := m.rows[name]; r.State > Suspect && (oldest == nil || r.since.Before(oldest.since)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	m.remove(oldest.Name)
	return true
}

// changed sets a member's state and makes it news.
func (m *Members) changed(r *row, state State, now time.Time) {
	r.State, r.since = state, now
	if r.sends == 0 {
		m.news = append(m.news, r)
	}
	r.sends = sendFactor * max(minLogMembers, bits.Len(uint(len(m.rows)+1)))
	m.dirty = true
	m.Logger.Info("member", "name", r.Name, "zone", r.Zone, "state", state, "incarnation", r.Incarnation)
}

// expire turns suspects into dead members and forgets those dead or left for long.
func (m *Members) expire(now time.Time) {
	limit := m.suspectTime()
	for i := len(m.names) - 1; i >= 0; i-- {
		r := m.rows[m.names[i]]
		switch age := now.Sub(r.since); {
		case r.State == Suspect && age >= limit:
			m.changed(r, Dead, now)
		case r.State > Suspect && age >= m.ForgetAfter:
			m.remove(r.Name)
		}
	}
}

// suspectTime grows with the logarithm of the number of members, as the time
// that a suspicion and its refutation need to spread does.
func (m *Members) suspectTime() time.Duration {
	return m.SuspectAfter * time.Duration(max(4, bits.Len(uint(len(m.rows))))) / 4
}
