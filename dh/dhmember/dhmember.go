// Package dhmember implements gossip membership for entry VMs.
//
// Every period a member exchanges messages with one random member, half of the
// time one in its own zone, and with those that its payloads request. A member
// that does not answer is probed indirectly through others, then marked as
// suspect, then as dead; a suspect member that is alive refutes the suspicion
// with a higher incarnation. A member that leaves announces it. Messages carry
// only changed records; one message per page period also carries a page of
// the full table. Seeds and dead members are retried at a longer period, so
// that both sides of a healed partition find each other.
//
// A member starts at incarnation 0, and peers ignore its record until its
// first exchange has ended. A peer that still has a record of the name answers with
// it, and the member continues at the next incarnation. When no reachable peer
// has one, the member starts at a random incarnation; when another peer later
// reports a higher one, the member moves above that.
//
// # Usage
//
//	members := &dhmember.Members{
//		Timers: timers, Transport: transport, Group: group,
//		Self:  &dhpb.MemberRecord{Name: "vm-1", Address: "10.0.0.1:7000", Zone: "mrc-a", Region: "mauricie"},
//		Seeds: []string{"10.0.0.2:7000"}, Seed: seed,
//		Payloads: []dhmember.Payload{digest},
//	}
//	group.Go(members.Run)
//	for _, member := range members.View().Alive() { ... }
//
// The server side of PeerService.Gossip calls Receive.
package dhmember

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

//go:generate ../../bin/stringer -type=State -linecomment

// Transport sends a message to an entry VM and returns its answer.
type Transport interface {
	Gossip(ctx context.Context, address string, msg *dhpb.GossipMessage) (*dhpb.GossipMessage, error)
}

// Payload attaches additional content to messages. Its methods are called
// concurrently from several goroutines and must not block.
type Payload interface {
	// Fill adds content to an outgoing message. The recipient's name is empty
	// when only its address is known.
	Fill(to Member, msg *dhpb.GossipMessage)
	// Merge reads content from a received message. It must not retain the message.
	Merge(msg *dhpb.GossipMessage)
}

// Targeter is a Payload that selects members to exchange messages with in
// every period. Targets must not call methods of Members other than View.
type Targeter interface {
	Targets(view *View) []string
}

// Members is the membership as seen by one entry VM. Exported fields are set
// before Run; zero periods and bounds take the defaults given here.
type Members struct {
	Timers    dhtimer.Service
	Transport Transport
	// Group runs the exchanges. A nil group is replaced by one without a
	// parent. No exchange runs after the group's Wait has returned.
	Group *dhgroup.Group
	// Self holds the name, address, zone, region, has_disk and voter_id of this VM.
	Self *dhpb.MemberRecord
	// Seeds are addresses of entry VMs, preferably in several zones.
	Seeds    []string
	Payloads []Payload
	// Seed initializes the random numbers. Outside of tests it should differ between runs.
	Seed   uint64
	Logger *slog.Logger

	Period       time.Duration // between probes, 500 ms
	ProbeTimeout time.Duration // of one exchange, 300 ms
	SuspectAfter time.Duration // from suspect to dead at up to 16 members, 2 s; grows with the logarithm of the member count
	ForgetAfter  time.Duration // from dead or left until the record is removed, 1 h
	RejoinPeriod time.Duration // between attempts to reach a seed or a dead member, 5 s
	PagePeriod   time.Duration // between pages of the full table, 30 s

	IndirectProbes int // members asked to probe an unresponsive member, 3
	MaxMembers     int // maximum number of records, 4096
	MaxDeltas      int // changed records in a message, 64
	MaxPage        int // records in a page, 64
	MaxFanout      int // exchanges started in one period or by one Push, 16
	MaxRelayed     int // concurrent probes on behalf of other members, 16
	LargeMembers   int // member count above which only every second period has a random probe, 256, unless many updates are pending
	// LocalShare is the share of random probes that go to this VM's zone, 0.5.
	LocalShare float64

	once sync.Once
	view atomic.Pointer[View]

	mu             sync.Mutex
	rnd            *rand.Rand
	self           Member
	rows           map[string]*row
	names          []string // sorted names of rows
	updates        []*row   // rows whose updates are still to be sent
	voterSequences map[string]uint64
	probeQueues    [2][]string // names still to probe in this round: this VM's zone, other zones
	pageCursor     int
	ticks          int
	activeRelays   int
	publishPending bool // the view must be published before the lock is released
	publishAtTick  bool // the view must be published by the next tick
	leaving        bool
	joined         chan struct{}
	// nextRejoin and nextPage are when the next rejoin attempt and page are due.
	nextRejoin, nextPage time.Time
	// nextList is when the next request for the full member list is due, or zero.
	// listRequests counts these requests.
	nextList     time.Time
	listRequests int
	// maxVoterSequences bounds the size of voterSequences.
	maxVoterSequences int
}

// row is the local record of another member.
type row struct {
	Member
	since     time.Time // start of the current state
	lastHeard time.Time // time of the last message from the member itself
	sendsLeft int       // number of messages that still carry the record as an update
	// exchanging is set while an exchange started by a tick is in progress,
	// indirectProbing while other members are asked to probe this one.
	exchanging, indirectProbing bool
}

// updateSendFactor times the logarithm of the member count is the number of
// messages that carry an update.
const updateSendFactor = 2

// minLogMembers is the lower bound of that logarithm. A VM that has just started
// knows few members; without the bound it stopped sending its updates before
// they had reached all of 300 members.
const minLogMembers = 8

// listDelays are the intervals between a starting VM's requests for the full
// member list. The member that answers the first request may itself have just
// started: when 1,000 members started at once, pages alone had not made all of
// them known to each other after 9 minutes.
var listDelays = [...]time.Duration{10 * time.Second, time.Minute}

func (m *Members) init() {
	m.once.Do(func() {
		setDuration(&m.Period, 500*time.Millisecond)
		setDuration(&m.ProbeTimeout, 300*time.Millisecond)
		setDuration(&m.SuspectAfter, 2*time.Second)
		setDuration(&m.ForgetAfter, time.Hour)
		setDuration(&m.RejoinPeriod, 5*time.Second)
		setDuration(&m.PagePeriod, 30*time.Second)
		setInt(&m.IndirectProbes, 3)
		setInt(&m.MaxMembers, 4096)
		setInt(&m.MaxDeltas, 64)
		setInt(&m.MaxPage, 64)
		setInt(&m.MaxFanout, 16)
		setInt(&m.MaxRelayed, 16)
		setInt(&m.LargeMembers, 256)
		if m.LocalShare <= 0 {
			m.LocalShare = 0.5
		}
		if m.Group == nil {
			m.Group = dhgroup.New(context.Background())
		}
		if m.Logger == nil {
			m.Logger = slog.New(slog.DiscardHandler)
		}
		m.maxVoterSequences = 1024
		m.rnd = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.GetName())))
		m.self = memberOf(m.Self, Alive)
		m.self.Incarnation = 0
		m.rows = make(map[string]*row)
		m.voterSequences = make(map[string]uint64)
		m.joined = make(chan struct{})
		m.publish()
	})
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// Run probes members until ctx is done.
func (m *Members) Run(ctx context.Context) error {
	m.init()
	m.mu.Lock()
	now := m.Timers.Now()
	phase := time.Duration(m.rnd.Int64N(int64(m.Period)))
	m.nextRejoin = now
	m.nextPage = now.Add(time.Duration(m.rnd.Int64N(int64(m.PagePeriod))))
	m.mu.Unlock()

	var (
		mu       sync.Mutex
		stopped  bool
		stopTick func()
	)
	stopStart := m.Timers.After(phase, func(now time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		stopTick = m.Timers.Subscribe(m.Period, m.tick)
		m.tick(now)
	})
	<-ctx.Done()
	stopStart()
	mu.Lock()
	defer mu.Unlock()
	stopped = true
	if stopTick != nil {
		stopTick()
	}
	return nil
}

// View returns the most recently published view.
func (m *Members) View() *View {
	m.init()
	return m.view.Load()
}

// Joined returns a channel that is closed after the first exchange with another
// member. It stays open on a VM that cannot reach any other.
func (m *Members) Joined() <-chan struct{} {
	m.init()
	return m.joined
}

// SelfUpdate holds the mutable fields of this VM's record.
type SelfUpdate struct {
	Revision      uint64
	VoterID       string
	VoterSequence uint64
	InFlight      int
}

// SetSelf updates the mutable fields of this VM's record. Every later message
// carries them; the view includes them from the next period on.
func (m *Members) SetSelf(c SelfUpdate) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Revision, m.self.InFlight = c.Revision, c.InFlight
	m.self.VoterID, m.self.VoterSequence = c.VoterID, c.VoterSequence
	m.recordVoterSequence(c.VoterID, c.VoterSequence)
	m.publishAtTick = true
}

// VoterSequence returns the highest synced record number that any member has
// reported for the given voter.
func (m *Members) VoterSequence(voterID string) uint64 {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voterSequences[voterID]
}
