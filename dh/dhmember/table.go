package dhmember

import (
	"math/bits"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhpb"
)

// merge applies the member records of a message. The caller holds the lock.
func (m *Members) merge(msg *dhpb.GossipMessage, now time.Time) {
	bulk := m.isBulk(msg)
	for _, r := range msg.GetMembers() {
		if r.GetName() == m.self.Name {
			m.refute(r)
			continue
		}
		direct := r.GetName() == msg.GetFrom()
		m.applyRecord(r, direct, bulk && !direct, now)
	}
	if row := m.rows[msg.GetFrom()]; row != nil {
		row.lastHeard = now
	}
	if m.self.Incarnation == 0 && msg.GetFrom() != m.self.Name {
		m.nextList = now
		m.self.Incarnation = 1 + m.rnd.Uint64N(1<<16)
	}
	if m.publishPending {
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

// isBulk reports whether a message carries a page or all records.
func (m *Members) isBulk(msg *dhpb.GossipMessage) bool { return len(msg.GetMembers()) > m.MaxDeltas+2 }

// refute raises the incarnation of this VM above that of a received record about
// it that is newer or has a wrong state or address.
func (m *Members) refute(r *dhpb.MemberRecord) {
	m.recordVoterSequence(r.GetVoterId(), r.GetVoterSequence())
	if m.leaving {
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
	m.publishPending = true
	m.Logger.Info("refuted", "state", state, "incarnation", m.self.Incarnation)
}

// applyRecord merges a record about another member. It ignores records at
// incarnation 0, which come from VMs that do not know their incarnation yet. An
// unknown member in a bulk message does not become an update, as a starting VM
// would otherwise forward the full list to every member.
func (m *Members) applyRecord(r *dhpb.MemberRecord, direct, bulk bool, now time.Time) {
	state, ok := parseState(r.GetState())
	if !ok || r.GetName() == "" || r.GetIncarnation() == 0 {
		return
	}
	m.recordVoterSequence(r.GetVoterId(), r.GetVoterSequence())
	cur := m.rows[r.GetName()]
	if cur == nil {
		if state <= Suspect && r.GetAddress() != "" && m.ensureCapacity() {
			m.add(&row{Member: memberOf(r, state), since: now}, !bulk)
		}
		return
	}
	newer := r.GetIncarnation() > cur.Incarnation
	if newer && r.GetAddress() != "" {
		cur.Member = memberOf(r, state)
		m.setState(cur, state, now)
		return
	}
	if newer || r.GetIncarnation() == cur.Incarnation && state > cur.State {
		cur.Incarnation = r.GetIncarnation()
		m.setState(cur, state, now)
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
	m.publishAtTick = m.publishAtTick || cur.Member != old
}

func (m *Members) recordVoterSequence(id string, sequence uint64) {
	if _, known := m.voterSequences[id]; id == "" || !known && len(m.voterSequences) >= m.maxVoterSequences {
		return
	}
	m.voterSequences[id] = max(m.voterSequences[id], sequence)
}

func (m *Members) add(r *row, isUpdate bool) {
	i, _ := slices.BinarySearch(m.names, r.Name)
	m.names = slices.Insert(m.names, i, r.Name)
	m.rows[r.Name] = r
	m.publishPending = true
	if isUpdate {
		m.setState(r, r.State, r.since)
	}
}

func (m *Members) remove(name string) {
	if i, found := slices.BinarySearch(m.names, name); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
	r := m.rows[name]
	delete(m.rows, name)
	m.updates = slices.DeleteFunc(m.updates, func(other *row) bool { return other == r })
	m.publishPending = true
}

// ensureCapacity reports whether a member can be added. If the table is full, it
// evicts the member that has been dead or left the longest.
func (m *Members) ensureCapacity() bool {
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

// setState sets a member's state and queues the record as an update.
func (m *Members) setState(r *row, state State, now time.Time) {
	r.State, r.since = state, now
	if r.sendsLeft == 0 {
		m.updates = append(m.updates, r)
	}
	r.sendsLeft = updateSendFactor * max(minLogMembers, bits.Len(uint(len(m.rows)+1)))
	m.publishPending = true
	m.Logger.Info("member", "name", r.Name, "zone", r.Zone, "state", state, "incarnation", r.Incarnation)
}

// expire marks suspect members as dead after the suspicion timeout and removes
// those that have been dead or left for ForgetAfter.
func (m *Members) expire(now time.Time) {
	limit := m.suspicionTimeout()
	for i := len(m.names) - 1; i >= 0; i-- {
		r := m.rows[m.names[i]]
		switch age := now.Sub(r.since); {
		case r.State == Suspect && age >= limit:
			m.setState(r, Dead, now)
		case r.State > Suspect && age >= m.ForgetAfter:
			m.remove(r.Name)
		}
	}
}

// suspicionTimeout returns the time from suspect to dead. It grows with the
// logarithm of the member count, as does the time in which a suspicion and its
// refutation spread.
func (m *Members) suspicionTimeout() time.Duration {
	return m.SuspectAfter * time.Duration(max(4, bits.Len(uint(len(m.rows))))) / 4
}
