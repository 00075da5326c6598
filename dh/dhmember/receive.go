package dhmember

import (
	"context"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Receive merges a message of another member, which it consumes, and returns
// the answer. A message without a sender gets the code request-malformed, one
// with too many records request-too-large.
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
	stranger := old == nil || old.State > Suspect
	// A VM that starts gets all records, and so does one back from a partition,
	// which sends a page itself. One that others already know needs none.
	if sender.Incarnation == 0 || stranger && (m.bulk(msg) || len(m.rows) <= m.MaxPage) {
		page = m.MaxMembers
	}
	m.merge(msg, m.Timers.Now())
	reply := m.build(sender, page)
	m.mu.Unlock()

	msg.Backends = nil // see exchange
	for _, p := range m.Payloads {
		p.Merge(msg)
	}
	for _, p := range m.Payloads {
		p.Fill(sender, reply)
	}
	if msg.GetProbe() != "" {
		reply.ProbeOk = m.relay(ctx, msg.GetProbe())
	}
	return reply, nil
}

// relay probes a member on behalf of another.
func (m *Members) relay(ctx context.Context, name string) bool {
	m.mu.Lock()
	r := m.rows[name]
	if r == nil || m.relayed >= m.MaxRelayed {
		m.mu.Unlock()
		return false
	}
	to := r.Member
	m.relayed++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.relayed--
		m.mu.Unlock()
	}()
	_, err := m.exchange(ctx, to, "", m.ProbeTimeout, 0)
	return err == nil
}

// Push exchanges messages with all alive members, or with MaxFanout random ones
// when there are more, and returns when all have answered or timed out.
func (m *Members) Push(ctx context.Context) {
	m.init()
	m.push(ctx, m.sample(m.MaxFanout, ""))
}

// push returns the members that did not answer.
func (m *Members) push(ctx context.Context, list []Member) []Member {
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

// leaveAttempts is how often Leave tells a member that does not answer.
const leaveAttempts = 3

// Leave announces that this VM leaves as planned and stops probing. It
// returns when MaxFanout members have answered, or all alive ones when there
// are fewer, or after three attempts.
func (m *Members) Leave(ctx context.Context) {
	m.init()
	m.mu.Lock()
	m.left = true
	m.self.State = Left
	m.publish()
	m.mu.Unlock()
	list := m.sample(m.MaxFanout, "")
	for i := 0; i < leaveAttempts && len(list) > 0 && ctx.Err() == nil; i++ {
		list = m.push(ctx, list)
	}
}
