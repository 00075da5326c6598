package dhmember

import (
	"context"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Receive merges a message from another member and returns the answer. The caller
// must not use the message afterwards. Receive fails with request-malformed for a
// message without a sender, and with request-too-large for one with too many
// records.
func (m *Members) Receive(ctx context.Context, msg *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	m.init()
	if msg.GetFrom() == "" {
		return nil, dhcode.Errorf(dhcode.RequestMalformed, "gossip message has no sender")
	}
	if n := len(msg.GetMembers()); n > m.MaxMembers+2 {
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "gossip message of %q has %d member records, at most %d are read",
			msg.GetFrom(), n, m.MaxMembers+2)
	}
	sender := Member{Name: msg.GetFrom()}
	if i := slices.IndexFunc(msg.GetMembers(), func(r *dhpb.MemberRecord) bool { return r.GetName() == msg.GetFrom() }); i >= 0 {
		sender = memberOf(msg.GetMembers()[i], Alive)
	}
	m.mu.Lock()
	old := m.rows[sender.Name]
	page := 0
	unknown := old == nil || old.State > Suspect
	// A starting VM receives all records. So does a member that returns from a
	// partition, which sends a page itself. A member that others already know
	// needs none.
	if sender.Incarnation == 0 || unknown && (m.isBulk(msg) || len(m.rows) <= m.MaxPage) {
		page = m.MaxMembers
	}
	m.merge(msg, m.Timers.Now())
	reply := m.buildMessage(sender, page)
	m.mu.Unlock()

	msg.Backends = nil // backend records are accepted only in answers, see exchange
	for _, p := range m.Payloads {
		p.Merge(msg)
	}
	for _, p := range m.Payloads {
		p.Fill(sender, reply)
	}
	if msg.GetProbe() != "" {
		reply.ProbeOk = m.probeForPeer(ctx, msg.GetProbe())
	}
	return reply, nil
}

// probeForPeer probes a member on behalf of another and reports whether it answered.
func (m *Members) probeForPeer(ctx context.Context, name string) bool {
	m.mu.Lock()
	r := m.rows[name]
	if r == nil || m.activeRelays >= m.MaxRelayed {
		m.mu.Unlock()
		return false
	}
	to := r.Member
	m.activeRelays++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.activeRelays--
		m.mu.Unlock()
	}()
	_, err := m.exchange(ctx, to, "", m.ProbeTimeout, 0)
	return err == nil
}

// Push exchanges messages with all alive members, or with MaxFanout random ones
// if there are more. It returns when all have answered or timed out.
func (m *Members) Push(ctx context.Context) {
	m.init()
	m.exchangeAll(ctx, m.sample(m.MaxFanout, ""))
}

// exchangeAll exchanges messages with the listed members concurrently and returns
// those that did not answer.
func (m *Members) exchangeAll(ctx context.Context, list []Member) []Member {
	answered := make([]bool, len(list))
	done := make(chan struct{}, len(list))
	for i, to := range list {
		m.Group.Go(func(context.Context) error {
			_, err := m.exchange(ctx, to, "", m.ProbeTimeout, 0)
			answered[i] = err == nil
			done <- struct{}{}
			return nil
		})
	}
	for range list {
		<-done
	}
	var failed []Member
	for i, to := range list {
		if !answered[i] {
			failed = append(failed, to)
		}
	}
	return failed
}

// leaveAttempts is the number of times that Leave notifies a member that does not answer.
const leaveAttempts = 3

// Leave announces the planned shutdown of this VM to MaxFanout members, or to
// all alive ones if there are fewer, and stops probing. It returns when these
// members have answered, or after three attempts.
func (m *Members) Leave(ctx context.Context) {
	m.init()
	m.mu.Lock()
	m.leaving = true
	m.self.State = Left
	m.publish()
	m.mu.Unlock()
	list := m.sample(m.MaxFanout, "")
	for i := 0; i < leaveAttempts && len(list) > 0 && ctx.Err() == nil; i++ {
		list = m.exchangeAll(ctx, list)
	}
}
