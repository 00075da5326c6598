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
	if m.dirty || m.stale {
		m.publish()
	}
	if m.left {
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
		// A VM that others have found did not get a list, so the first is due
		// at once.
		m.nextList = time.Time{}
		if m.lists++; m.lists <= len(listDelays) {
			m.nextList = now.Add(listDelays[m.lists-1])
		}
	}
	var lost []Member
	if !now.Before(m.nextJoin) || m.self.Incarnation == 0 {
		m.nextJoin = now.Add(m.RejoinPeriod)
		lost = m.lost()
	}
	m.mu.Unlock()

	for i, to := range targets {
		size := 0
		switch {
		case i == 0 && list:
			size = wholeList
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

// targets returns the members of this period's exchanges: a random one and
// those that payloads ask for.
func (m *Members) targets(view *View) []Member {
	var list []Member
	take := func(name string) {
		r := m.rows[name]
		if r == nil || r.State > Suspect || r.busy || len(list) >= m.MaxFanout {
			return
		}
		r.busy = true
		list = append(list, r.Member)
	}
	m.ticks++
	if len(m.rows) <= m.LargeMembers || len(m.news) > manyNews || m.ticks%2 == 0 {
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

// nextProbe returns the name of the next member to probe. Each member of the
// own zone, and each of the others, is probed once before any is again.
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
		for len(m.probes[scope]) > 0 {
			last := len(m.probes[scope]) - 1
			name := m.probes[scope][last]
			m.probes[scope] = m.probes[scope][:last]
			if r := m.rows[name]; r != nil && r.State <= Suspect && !r.busy {
				return name
			}
		}
		for _, name := range m.names {
			if r := m.rows[name]; r.State <= Suspect && (r.Zone == m.self.Zone) == (scope == 0) {
				m.probes[scope] = append(m.probes[scope], name)
			}
		}
		m.shuffle(m.probes[scope])
	}
	return ""
}

func (m *Members) shuffle(names []string) {
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// lost returns a random one of the dead members and of the seeds that are not
// known, or nothing.
func (m *Members) lost() []Member {
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

// manyNews is the number of changes to pass on from which a member of a large
// cluster probes in every period: a zone was lost or is back.
const manyNews = 16

// manyDead is the number of dead members from which an answer of one of them
// is taken for the end of a partition rather than the restart of one VM.
const manyDead = 8

// rejoin tries to reach a lost member. When it answers, and more than one VM
// seems to be back, both exchange many records.
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
	many := to.Name == "" || dead >= manyDead
	m.mu.Unlock()
	if many {
		// Enough records that the other side takes it for a bulk message.
		_, _ = m.exchange(ctx, to, "", m.ProbeTimeout, m.MaxPage+m.MaxDeltas)
	}
}

// probe exchanges messages with a member and suspects it when neither it nor
// a member asked to probe it answers.
func (m *Members) probe(ctx context.Context, to Member, page int) {
	start := m.Timers.Now()
	_, err := m.exchange(ctx, to, "", m.ProbeTimeout, page)
	if !m.doubt(to.Name, err != nil && ctx.Err() == nil) {
		return
	}
	reached := m.askOthers(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[to.Name]
	if r != nil {
		r.doubted = false
	}
	if reached || ctx.Err() != nil || r == nil || r.State != Alive || r.Incarnation != to.Incarnation || !r.heard.Before(start) {
		return
	}
	m.changed(r, Suspect, m.Timers.Now())
	m.publish()
}

// doubt ends an exchange started by a tick and says whether others should be
// asked about the member. Exchanges with it go on in the meantime.
func (m *Members) doubt(name string, failed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.rows[name]
	if r == nil {
		return false
	}
	r.busy = false
	ask := failed && !r.doubted && r.State == Alive
	r.doubted = r.doubted || ask
	return ask
}

// askOthers asks other members to probe one and says whether any reached it.
func (m *Members) askOthers(ctx context.Context, to Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helpers := m.sample(m.IndirectProbes, to.Name)
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		m.Group.Go(func(context.Context) error {
			// The helper needs a timeout of its own within this one.
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

// sample returns up to n random alive members other than one.
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

// wholeList is the page that asks for all records.
const wholeList = -1

// exchange sends a message, with a page of records when page is above 0, and
// merges the answer.
func (m *Members) exchange(ctx context.Context, to Member, probe string, timeout time.Duration, page int) (*dhpb.GossipMessage, error) {
	m.mu.Lock()
	msg := m.build(to, page)
	m.mu.Unlock()
	for _, p := range m.Payloads {
		p.Fill(to, msg)
	}
	// The receiver of a request cannot bound how long it was under way, so
	// backend records, whose lease depends on their age, are only in answers.
	msg.Backends = nil
	msg.Probe = probe

	ctx, cancel := dhtimer.WithTimeout(ctx, m.Timers, timeout)
	defer cancel()
	start := m.Timers.Now()
	reply, err := m.Transport.Gossip(ctx, to.Address, msg)
	if err != nil {
		return nil, err
	}
	// A dead member may have been replaced under another name.
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
	// The records were at least this old when the exchange ended.
	for _, b := range reply.GetBackends() {
		b.AnnouncementAge = durationpb.New(b.GetAnnouncementAge().AsDuration() + now.Sub(start))
	}
	for _, p := range m.Payloads {
		p.Merge(reply)
	}
	return reply, nil
}
