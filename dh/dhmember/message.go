package dhmember

import (
	"cmp"
	"slices"

	"dandelionhoist.example/dh/dhpb"
)

// buildMessage builds a message to a member. It contains this VM's record, a
// correction of the recipient's record if needed, and either pending updates or
// a page of the table. With fullListRequest it has neither and requests all
// records. The caller holds the lock.
func (m *Members) buildMessage(to Member, page int) *dhpb.GossipMessage {
	msg := &dhpb.GossipMessage{From: m.self.Name, Revision: m.self.Revision}
	msg.Members = append(msg.Members, m.self.record())
	if echo := m.correctionFor(to); echo != nil {
		msg.Members = append(msg.Members, echo)
	}
	if page == fullListRequest {
		msg.Members[0].Incarnation = 0 // incarnation 0, as from a starting VM, requests all records
		return msg
	}
	if page == 0 {
		m.addUpdates(msg, to.Name)
		return msg
	}
	for range min(page, len(m.names)) {
		m.pageCursor = (m.pageCursor + 1) % len(m.names)
		if r := m.rows[m.names[m.pageCursor]]; r.Name != to.Name {
			msg.Members = append(msg.Members, r.record())
		}
	}
	return msg
}

// correctionFor returns the record of a member if the member must correct its
// own: because this VM does not consider it alive, or knows a higher incarnation
// or a higher synced record number of its voter than the member reports.
// Otherwise it returns nil.
func (m *Members) correctionFor(to Member) *dhpb.MemberRecord {
	r := m.rows[to.Name]
	if r == nil {
		if seen := m.voterSequences[to.VoterID]; seen > to.VoterSequence {
			to.VoterSequence = seen
			return to.record()
		}
		return nil
	}
	seen := max(r.VoterSequence, m.voterSequences[to.VoterID])
	if r.State == Alive && r.Incarnation <= to.Incarnation && seen <= to.VoterSequence {
		return nil
	}
	known := r.Member
	if to.VoterID != "" {
		known.VoterID, known.VoterSequence = to.VoterID, m.voterSequences[to.VoterID]
	}
	return known.record()
}

// addUpdates adds pending updates, those carried by the fewest messages first.
func (m *Members) addUpdates(msg *dhpb.GossipMessage, to string) {
	slices.SortStableFunc(m.updates, func(a, b *row) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	added := 0
	for _, r := range m.updates {
		if added == m.MaxDeltas {
			break
		}
		if r.Name == to {
			continue
		}
		msg.Members = append(msg.Members, r.updateRecord())
		r.sendsLeft--
		added++
	}
	m.updates = slices.DeleteFunc(m.updates, func(r *row) bool { return r.sendsLeft == 0 })
}

// updateRecord returns the record sent as an update. For a member that is not
// alive it omits the fields that receivers with a record of the member already have.
func (m Member) updateRecord() *dhpb.MemberRecord {
	if m.State == Alive {
		return m.record()
	}
	return &dhpb.MemberRecord{Name: m.Name, State: m.State.String(), Incarnation: m.Incarnation}
}
