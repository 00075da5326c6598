// Package dhmember is the gossip membership of entry VMs.
//
// Every period a member exchanges messages with one random member, half of the
// time one of its own zone, and with those that its payloads ask for. A member
// that does not answer is probed through others, then suspected, then dead; a
// suspected member that is alive refutes with a higher incarnation. A member
// that leaves says so. Messages carry changed records only; now and then one
// carries a page of all records. Seeds and dead members are tried on a slow
// period, so that both sides of a healed partition find each other.
//
// A member starts at incarnation 0 and tells nobody else about itself before
// its first exchange. A peer that remembers the name answers with its
// record, and the member continues one above it. When no reachable peer
// remembers the name, the member starts at a random incarnation; when another
// peer later turns out to know a higher one, the member goes above that.
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

// Payload attaches other content to messages. Its methods are called from
// several goroutines and must not block.
type Payload interface {
	// Fill adds content to a message to a member. The member's name is empty
	// when only its address is known.
	Fill(to Member, msg *dhpb.GossipMessage)
	// Merge takes content out of a received message, which it must not keep.
	Merge(msg *dhpb.GossipMessage)
}

// Targeter is a Payload that names members to exchange messages with in every
// period. Targets must not call methods of Members other than View.
type Targeter interface {
	Targets(view *View) []string
}

// Members is the membership as seen by one entry VM. Exported fields are set
// before Run; zero periods and bounds take the defaults given here.
type Members struct {
	Timers    dhtimer.Service
	Transport Transport
	// Group runs the exchanges. A nil group is replaced by one without a
	// parent. Nothing is called after the group has been waited for.
	Group *dhgroup.Group
	// Self gives name, address, zone, region, has_disk and voter_id of this VM.
	Self *dhpb.MemberRecord
	// Seeds are addresses of entry VMs, preferably in several zones.
	Seeds    []string
	Payloads []Payload
	// Seed of the random numbers. It should differ from run to run, except in tests.
	Seed   uint64
	Logger *slog.Logger

	Period       time.Duration // between probes, 500 ms
	ProbeTimeout time.Duration // of one exchange, 300 ms
	SuspectAfter time.Duration // from suspect to dead at up to 16 members, 2 s; grows with the logarithm of their number
	ForgetAfter  time.Duration // from dead or left to forgotten, 1 h
	RejoinPeriod time.Duration // between attempts to reach a seed or a dead member, 5 s
	PagePeriod   time.Duration // between pages of all records, 30 s

	IndirectProbes int // members asked to probe an unresponsive one, 3
	MaxMembers     int // records kept, 4096
	MaxDeltas      int // changed records in a message, 64
	MaxPage        int // records in a page, 64
	MaxFanout      int // exchanges started in one period or by one Push, 16
	MaxRelayed     int // probes on behalf of others at once, 16
	LargeMembers   int // members above which only every second period has a random probe, 256, while there is little news
	// LocalShare is the share of random probes that stay in the own zone, 0.5.
	LocalShare float64

	once sync.Once
	view atomic.Pointer[View]

	mu      sync.Mutex
	rnd     *rand.Rand
	self    Member
	rows    map[string]*row
	names   []string // sorted names of rows
	news    []*row   // rows with sends left
	voters  map[string]uint64
	probes  [2][]string // names still to probe in this round: own zone, others
	cursor  int
	ticks   int
	relayed int
	dirty   bool // the view is to be published before the lock is released
	stale   bool // the view is to be published by the next tick
	left    bool
	joined  chan struct{}
	// nextJoin and nextPage are when the next attempt and page are due.
	nextJoin, nextPage time.Time
	// nextList is when to ask for a list of all members, or zero; lists counts them.
	nextList time.Time
	lists    int
	// maxVoters bounds voters.
	maxVoters int
}

// row is what is known of another member.
type row struct {
	Member
	since time.Time // of the current state
	heard time.Time // of the last message from the member itself
	sends int       // messages that still carry the record as news
	// busy is set while an exchange started by a tick is under way, doubted
	// while others are asked to probe the member.
	busy, doubted bool
}

// sendFactor times the logarithm of the number of members is how many messages carry a change.
const sendFactor = 2

// minLogMembers is the least logarithm that is used: a VM that has just
// started knows few members, and its news stopped before reaching all of 300.
const minLogMembers = 8

// listDelays are the times between the lists of all members that a starting VM
// asks for. The member that gave the first may have started just before; when
// 1,000 started at once, pages alone had not told all of each other after 9 minutes.
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
		m.maxVoters = 1024
		m.rnd = rand.New(rand.NewPCG(m.Seed, xxhash.Sum64String(m.Self.GetName())))
		m.self = memberOf(m.Self, Alive)
		m.self.Incarnation = 0
		m.rows = make(map[string]*row)
		m.voters = make(map[string]uint64)
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

// Run probes members until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	m.init()
	m.mu.Lock()
	now := m.Timers.Now()
	phase := time.Duration(m.rnd.Int64N(int64(m.Period)))
	m.nextJoin = now
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

// View returns the members as last published.
func (m *Members) View() *View {
	m.init()
	return m.view.Load()
}

// Joined is closed after the first exchange with another member. A VM that
// reaches no other never joins.
func (m *Members) Joined() <-chan struct{} {
	m.init()
	return m.joined
}

// Change is the changing part of the own record.
type Change struct {
	Revision      uint64
	VoterID       string
	VoterSequence uint64
	InFlight      int
}

// SetSelf sets the changing part of the own record. It is in every message
// from then on, and in the view from the next period.
func (m *Members) SetSelf(c Change) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Revision, m.self.InFlight = c.Revision, c.InFlight
	m.self.VoterID, m.self.VoterSequence = c.VoterID, c.VoterSequence
	m.noteVoter(c.VoterID, c.VoterSequence)
	m.stale = true
}

// VoterSequence returns the highest synced record number that any member has
// reported for a voter.
func (m *Members) VoterSequence(voterID string) uint64 {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voters[voterID]
}
