package dhmember

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// tick starts the exchanges of one period.
func (m *Members) tick(now time.Time) {
	m.mu.Lock()
	m.expire(now)
	if m.publishPending || m.publishAtTick {
		m.publish()
	}
	if m.leaving {
		m.mu.Unlock()
		return
	}
	targets := m.targets(m.view.Load())
	page := 0
	if !now.Before(m.nextPage) && len(targets) > 0 {
		m.nextPage = now.Add(m.PagePeriod)
		page = m.MaxPage
	}
	list := !m.nextList.IsZero() && !now.Before(m.nextList) && len(targets) > 0
	if list {
		// A VM that others contacted first has not received a full list, so the
		// first request is due immediately.
		m.nextList = time.Time{}
		if m.listRequests++; m.listRequests <= len(listDelays) {
			m.nextList = now.Add(listDelays[m.listRequests-1])
		}
	}
	var lost []Member
	if !now.Before(m.nextRejoin) || m.self.Incarnation == 0 {
		m.nextRejoin = now.Add(m.RejoinPeriod)
		lost = m.rejoinTarget()
	}
	m.mu.Unlock()

	for i, to := range targets {
		size := 0
		switch {
		case i == 0 && list:
			size = fullListRequest
		case i == 0:
			size = page
		}
		m.Group.Go(func(ctx context.Context) error {
			m.probe(ctx, to, size)
			return nil
		})
	}
	for _, to := range lost {
		m.Group.Go(func(ctx context.Context) error {
			m.rejoin(ctx, to)
			return nil
		})
	}
}

// targets returns the members to exchange messages with in this period: a random
// one and those that payloads request.
func (m *Members) targets(view *View) []Member {
	var list []Member
	take := func(name string) {
		r := m.rows[name]
		if r == nil || r.State > Suspect || r.exchanging || len(list) >= m.MaxFanout {
			return
		}
		r.exchanging = true
		list = append(list, r.Member)
	}
	m.ticks++
	if len(m.rows) <= m.LargeMembers || len(m.updates) > manyUpdates || m.ticks%2 == 0 {
		take(m.nextProbe())
	}
	for _, p := range m.Payloads {
		if t, ok := p.(Targeter); ok {
			for _, name := range t.Targets(view) {
				take(name)
			}
		}
	}
	return list
}

// nextProbe returns the name of the next member to probe. Within this VM's zone
// and within the other zones, each member is probed once per round.
func (m *Members) nextProbe() string {
	first := 0
	if m.rnd.Float64() >= m.LocalShare {
		first = 1
	}
	for _, scope := range []int{first, 1 - first} {
		if name := m.takeProbe(scope); name != "" {
			return name
		}
	}
	return ""
}

func (m *Members) takeProbe(scope int) string {
	for range 2 {
		for len(m.probeQueues[scope]) > 0 {
			last := len(m.probeQueues[scope]) - 1
			name := m.probeQueues[scope][last]
			m.probeQueues[scope] = m.probeQueues[scope][:last]
			if r := m.rows[name]; r != nil && r.State <= Suspect && !r.exchanging {
				return name
			}
		}
		for _, name := range m.names {
			if r := m.rows[name]; r.State <= Suspect && (r.Zone == m.self.Zone) == (scope == 0) {
				m.probeQueues[scope] = append(m.probeQueues[scope], name)
			}
		}
		m.shuffle(m.probeQueues[scope])
	}
	return ""
}

func (m *Members) shuffle(names []string) {
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// rejoinTarget returns one random entry of the dead members and unknown seeds,
// or nil if there are none.
func (m *Members) rejoinTarget() []Member {
	known := map[string]bool{m.self.Address: true}
	var lost []Member
	for _, name := range m.names {
		r := m.rows[name]
		known[r.Address] = known[r.Address] || r.State != Left
		if r.State == Dead {
			lost = append(lost, r.Member)
		}
	}
	for _, seed := range m.Seeds {
		if !known[seed] {
			lost = append(lost, Member{Address: seed})
		}
	}
	if len(lost) == 0 {
		return nil
	}
	i := m.rnd.IntN(len(lost))
	return lost[i : i+1]
}

// manyUpdates is the number of pending updates above which a member of a large
// cluster sends a random probe in every period. So many updates are pending
// after a zone was lost or has recovered.
const manyUpdates = 16

// partitionDeadCount is the number of dead members from which an answer from one
// of them is treated as the end of a partition rather than the restart of one VM.
const partitionDeadCount = 8

// rejoin tries to reach a dead member or an unknown seed. If it answers and a
// partition appears to have ended, a second exchange transfers many records.
func (m *Members) rejoin(ctx context.Context, to Member) {
	if _, err := m.exchange(ctx, to, "", m.ProbeTimeout, 0); err != nil {
		return
	}
	dead := 0
	m.mu.Lock()
	for _, r := range m.rows {
		if r.State == Dead {
			dead++
		}
	}
	many := to.Name == "" || dead >= partitionDeadCount
	m.mu.Unlock()
	if many {
		// A message with this many records is a bulk message for the receiver.
		_, _ = m.exchange(ctx, to, "", m.ProbeTimeout, m.MaxPage+m.MaxDeltas)
	}
}

// probe exchanges messages with a member and marks it as suspect if neither the
// direct exchange nor an indirect probe succeeds.
func (m *Members) probe(ctx context.Context, to Member, page int) {
	start := m.Timers.Now()
	_, err := m.exchange(ctx, to, "", m.ProbeTimeout, page)
	if !m.finishExchange(to.Name, err != nil && ctx.Err() == nil) {
		return
	}
	reached := m.probeIndirectly(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[to.Name]
	if r != nil {
		r.indirectProbing = false
	}
	if reached || ctx.Err() != nil || r == nil || r.State != Alive || r.Incarnation != to.Incarnation || !r.lastHeard.Before(start) {
		return
	}
	m.setState(r, Suspect, m.Timers.Now())
	m.publish()
}

// finishExchange records the end of an exchange started by a tick and reports
// whether to probe the member indirectly. Ticks continue to start exchanges with
// the member during indirect probes.
func (m *Members) finishExchange(name string, failed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[name]
	if r == nil {
		return false
	}
	r.exchanging = false
	ask := failed && !r.indirectProbing && r.State == Alive
	r.indirectProbing = r.indirectProbing || ask
	return ask
}

// probeIndirectly asks other members to probe a member and reports whether any
// of them reached it.
func (m *Members) probeIndirectly(ctx context.Context, to Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helpers := m.sample(m.IndirectProbes, to.Name)
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		m.Group.Go(func(context.Context) error {
			// The timeout must cover the helper's own probe timeout.
			reply, err := m.exchange(ctx, helper, to.Name, 2*m.ProbeTimeout, 0)
			answers <- err == nil && reply.GetProbeOk()
			return nil
		})
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// sample returns up to n random alive members, excluding one name.
func (m *Members) sample(n int, except string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, name := range m.names {
		if name != except && m.rows[name].State == Alive {
			names = append(names, name)
		}
	}
	m.shuffle(names)
	list := make([]Member, 0, n)
	for _, name := range names[:min(n, len(names))] {
		list = append(list, m.rows[name].Member)
	}
	return list
}

// fullListRequest is the page size that requests all records.
const fullListRequest = -1

// exchange sends a message, with a page of records if page is above 0, and merges
// the answer.
func (m *Members) exchange(ctx context.Context, to Member, probe string, timeout time.Duration, page int) (*dhpb.GossipMessage, error) {
	m.mu.Lock()
	msg := m.buildMessage(to, page)
	m.mu.Unlock()
	for _, p := range m.Payloads {
		p.Fill(to, msg)
	}
	// The receiver of a request cannot bound its transit time. Backend records,
	// whose lease depends on their age, are therefore sent only in answers.
	msg.Backends = nil
	msg.Probe = probe

	ctx, cancel := dhtimer.WithTimeout(ctx, m.Timers, timeout)
	defer cancel()
	start := m.Timers.Now()
	reply, err := m.Transport.Gossip(ctx, to.Address, msg)
	if err != nil {
		return nil, err
	}
	// A dead member's address may now belong to a VM with another name.
	other := to.Name != "" && to.State != Dead && reply.GetFrom() != to.Name
	if reply.GetFrom() == "" || other {
		return nil, dhcode.Errorf(dhcode.BackendFailed, "member %q expected at %s, found %q", to.Name, to.Address, reply.GetFrom())
	}
	if len(reply.GetMembers()) > m.MaxMembers+2 {
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "answer of %q has %d member records, at most %d are read",
			reply.GetFrom(), len(reply.GetMembers()), m.MaxMembers+2)
	}
	now := m.Timers.Now()
	m.mu.Lock()
	m.merge(reply, now)
	m.mu.Unlock()
	// The duration of the exchange is an upper bound of the answer's transit time.
	for _, b := range reply.GetBackends() {
		b.AnnouncementAge = durationpb.New(b.GetAnnouncementAge().AsDuration() + now.Sub(start))
	}
	for _, p := range m.Payloads {
		p.Merge(reply)
	}
	return reply, nil
}
