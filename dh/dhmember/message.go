package dhmember

import (
	"cmp"
	"slices"

	"dandelionhoist.example/dh/dhpb"
)

// build makes a message to a member: the own record, what is known of the
// member when that is not simply alive, and changed records or a number of
// records of the whole table, or a request for all records. The caller holds the lock.
func (m *Members) build(to Member, page int) *dhpb.GossipMessage {
	msg := &dhpb.GossipMessage{From: m.self.Name, Revision: m.self.Revision}
	msg.Members = append(msg.Members, m.self.record())
	if echo := m.echo(to); echo != nil {
		msg.Members = append(msg.Members, echo)
	}
	if page == wholeList {
		msg.Members[0].Incarnation = 0 // as a VM that starts
		return msg
	}
	if page == 0 {
		m.addNews(msg, to.Name)
		return msg
	}
	for range min(page, len(m.names)) {
		m.cursor = (m.cursor + 1) % len(m.names)
		if r := m.rows[m.names[m.cursor]]; r.Name != to.Name {
			msg.Members = append(msg.Members, r.record())
		}
	}
	return msg
}

// echo returns what a member has to know about itself: that it is not taken
// to be alive, an incarnation above the one it uses, or a higher synced record
// number of its voter than it reports.
func (m *Members) echo(to Member) *dhpb.MemberRecord {
	r := m.rows[to.Name]
	if r == nil {
		if seen := m.voters[to.VoterID]; seen > to.VoterSequence {
			to.VoterSequence = seen
			return to.record()
		}
		return nil
	}
	seen := max(r.VoterSequence, m.voters[to.VoterID])
	if r.State == Alive && r.Incarnation <= to.Incarnation && seen <= to.VoterSequence {
		return nil
	}
	known := r.Member
	if to.VoterID != "" {
		known.VoterID, known.VoterSequence = to.VoterID, m.voters[to.VoterID]
	}
	return known.record()
}

// addNews adds the changed records that the fewest messages have carried.
func (m *Members) addNews(msg *dhpb.GossipMessage, to string) {
	slices.SortStableFunc(m.news, func(a, b *row) int { return cmp.Compare(b.sends, a.sends) })
	added := 0
	for _, r := range m.news {
		if added == m.MaxDeltas {
			break
		}
		if r.Name == to {
			continue
		}
		msg.Members = append(msg.Members, r.brief())
		r.sends--
		added++
	}
	m.news = slices.DeleteFunc(m.news, func(r *row) bool { return r.sends == 0 })
}

// brief returns the record of a member; when it is not alive, without what
// those that know the member have already.
func (m Member) brief() *dhpb.MemberRecord {
	if m.State == Alive {
		return m.record()
	}
	return &dhpb.MemberRecord{Name: m.Name, State: m.State.String(), Incarnation: m.Incarnation}
}
