package dhquorum_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

// cluster consists of voters v0, v1, ... and proposers p0, p1, ... on a fake network.
type cluster struct {
	timers         *dhtimer.Stepped
	network        *dhfake.Network
	disks          []*dhdisk.Memory
	voters         []*dhquorum.Voter
	nodes          []*dhfake.Node
	proposers      []*dhquorum.Proposer
	failures       []error
	configureVoter func(v *dhquorum.Voter)
	hideSequences  bool
	// forgetTries makes the proposers apply an update again after a try with an unknown outcome.
	forgetTries bool
}

// transport sends through a node. With hideSequences it removes the record
// numbers from responses, so that the proposer cannot detect a rolled-back disk.
type transport struct {
	node          *dhfake.Node
	hideSequences bool
}

func (t transport) Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	a, err := t.node.Send(ctx, address, m)
	r, _ := a.(*dhpb.PrepareResponse)
	if r != nil && t.hideSequences {
		r.Sequence = 0
	}
	return r, err
}

func (t transport) Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	a, err := t.node.Send(ctx, address, m)
	r, _ := a.(*dhpb.AcceptResponse)
	if r != nil && t.hideSequences {
		r.Sequence = 0
	}
	return r, err
}

func (t transport) ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	a, err := t.node.Send(ctx, address, m)
	r, _ := a.(*dhpb.ReadStateResponse)
	if r != nil && t.hideSequences {
		r.Sequence = 0
	}
	return r, err
}

func newCluster(timers *dhtimer.Stepped, network *dhfake.Network, voters int, configure func(c *cluster)) *cluster {
	c := &cluster{timers: timers, network: network}
	configure(c)
	c.network.Set(dhfake.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond})
	for i := range voters {
		disk := &dhdisk.Memory{}
		disk.BeforeSync = func() { _ = dhtimer.Sleep(context.Background(), c.timers, 500*time.Microsecond) }
		c.disks = append(c.disks, disk)
		c.voters = append(c.voters, nil)
		c.nodes = append(c.nodes, nil)
		c.failures = append(c.failures, nil)
		c.start(i, fmt.Sprintf("id%d", i))
	}
	return c
}

// start opens voter i and attaches it to the network.
func (c *cluster) start(i int, newID string) {
	v, err := dhquorum.OpenVoter(c.disks[i], newID)
	c.failures[i] = err
	if err != nil {
		return
	}
	c.voters[i] = v
	if c.configureVoter != nil {
		c.configureVoter(v)
	}
	c.nodes[i] = c.network.Start(fmt.Sprintf("v%d", i), func(ctx context.Context, _ string, message any) (any, error) {
		switch m := message.(type) {
		case *dhpb.PrepareRequest:
			return v.Prepare(ctx, m)
		case *dhpb.AcceptRequest:
			return v.Accept(ctx, m)
		case *dhpb.ReadStateRequest:
			return v.ReadState(ctx, m)
		}
		return nil, fmt.Errorf("message %T", message)
	})
	c.nodes[i].Group().Go(v.Run)
	var seen uint64
	for _, p := range c.proposers {
		seen = max(seen, p.Sequences.Highest(v.Status().ID))
	}
	c.failures[i] = v.Confirm(context.Background(), seen)
}

func (c *cluster) crash(i int) {
	c.nodes[i].Crash()
	c.disks[i].Crash()
}

func (c *cluster) member(i int) dhquorum.Member {
	return dhquorum.Member{ID: c.voters[i].Status().ID, Address: fmt.Sprintf("v%d", i)}
}

func (c *cluster) addresses(n int) []dhquorum.Member {
	var members []dhquorum.Member
	for i := range n {
		members = append(members, dhquorum.Member{Address: fmt.Sprintf("v%d", i)})
	}
	return members
}

// addProposer adds a proposer whose clock runs at the given rate.
func (c *cluster) addProposer(seed uint64, rate float64) *dhquorum.Proposer {
	name := fmt.Sprintf("p%d", len(c.proposers))
	random := rand.New(rand.NewPCG(seed, uint64(len(c.proposers))))
	p := &dhquorum.Proposer{
		Name: name, Transport: transport{c.network.Start(name, nil), c.hideSequences},
		Timers: dhfake.NewClock(c.timers, rate), TryTimeout: 50 * time.Millisecond, Random: random.Uint64,
	}
	if c.forgetTries {
		p.ForgetTries()
	}
	c.proposers = append(c.proposers, p)
	return p
}

// run calls f on a cluster whose voter set is the first n voters, and advances time until f returns.
func run(t *testing.T, seed uint64, voters, n int, f func(ctx context.Context, c *cluster, p *dhquorum.Proposer)) {
	t.Helper()
	runWith(t, seed, voters, n, func(*cluster) {}, f)
}

// runWith is like run but calls configure on the cluster before it starts.
func runWith(t *testing.T, seed uint64, voters, n int, configure func(c *cluster),
	f func(ctx context.Context, c *cluster, p *dhquorum.Proposer),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		timers := dhtimer.NewStepped()
		network := dhfake.NewNetwork(timers, seed)
		group := dhgroup.New(t.Context())
		group.Go(func(ctx context.Context) error {
			defer group.Stop()
			c := newCluster(timers, network, voters, configure)
			p := c.addProposer(seed, 1)
			_, err := p.Bootstrap(ctx, c.addresses(n))
			if assert.Check(t, err) {
				f(ctx, c, p)
			}
			return nil
		})
		finished := dhfake.Drive(timers, time.Hour, func() bool { return group.Context().Err() != nil })
		assert.Check(t, finished, "seed %d did not finish", seed)
		network.Stop()
		// Lets goroutines that still sleep or wait for a response end.
		dhfake.Drive(timers, time.Minute, func() bool { return false })
	})
}
