package dhmember_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// cluster runs members on a stepped clock and an in-memory network.
type cluster struct {
	t      *testing.T
	timers *dhtimer.Stepped
	group  *dhgroup.Group
	seed   uint64
	// loss and duplicate are probabilities per message; delay is the maximum one-way delay.
	loss, duplicate float64
	delay           time.Duration
	configure       func(*node)

	mu          sync.Mutex
	nodes       []*node
	partitioned map[string]bool // zones on one side of a partition
	sentPerLink map[string]uint64
	// messages and bytes count sent requests and answers.
	messages, bytes int
}

type node struct {
	*dhmember.Members
	cluster *cluster
	stop    context.CancelFunc
	running bool
}

func runCluster(t *testing.T, f func(c *cluster)) {
	// With one processor, goroutines that an event starts run in the same order in each run.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, timers: dhtimer.NewStepped(), group: dhgroup.New(context.Background()), seed: 1,
			delay: 5 * time.Millisecond, partitioned: make(map[string]bool), sentPerLink: make(map[string]uint64),
		}
		defer func() {
			for _, n := range c.nodes {
				n.crash()
			}
			c.advance(5 * time.Second)
			assert.NilError(t, c.group.Wait())
		}()
		f(c)
	})
}

func zoneOf(i int) string { return "mrc-" + string(rune('a'+i%4)) }

// start adds members. The first three, each in a different zone, are the seeds.
func (c *cluster) start(count int) {
	for i := range count {
		c.add(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), zoneOf(i))
	}
	c.advance(10 * time.Second)
}

func (c *cluster) add(name, address, zone string) *node {
	n := &node{cluster: c, running: true, Members: &dhmember.Members{
		Timers: c.timers, Group: c.group, Seed: c.seed,
		Self:  &dhpb.MemberRecord{Name: name, Address: address, Zone: zone, Region: "mauricie"},
		Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}}
	n.Transport = n
	if c.configure != nil {
		c.configure(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	c.group.Go(func(context.Context) error { return n.Run(ctx) })
	return n
}

// crash stops a member without notice.
func (n *node) crash() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.running = false
	n.stop()
}

// restart starts a member with the same name, address and zone.
func (n *node) restart() *node {
	return n.cluster.add(n.Self.GetName(), n.Self.GetAddress(), n.Self.GetZone())
}

// advance advances the clock by d, one event at a time, and waits after each event
// until all goroutines are blocked.
func (c *cluster) advance(d time.Duration) {
	end := c.timers.Now().Add(d)
	c.timers.After(d, func(time.Time) {})
	for synctest.Wait(); c.timers.Now().Before(end); synctest.Wait() {
		c.timers.Next()
	}
}

// waitFor advances the clock until done returns true and returns the elapsed time.
// It fails the test at the limit.
func (c *cluster) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	start := c.timers.Now()
	for !done() {
		if c.timers.Now().Sub(start) >= limit {
			c.logViews()
			c.t.Fatalf("seed %d: not within %s: %s", c.seed, limit, what)
		}
		c.advance(100 * time.Millisecond)
	}
	return c.timers.Now().Sub(start)
}

// logViews logs up to 20 differences between the members' views and the running members.
func (c *cluster) logViews() {
	list, lines := c.running(), 0
	for _, n := range list {
		for _, other := range list {
			m, _ := n.View().Get(other.Self.GetName())
			if (m.Name == "" || m.State != dhmember.Alive) && lines < 20 {
				c.t.Logf("%s sees %q %s %d", n.Self.GetName(), m.Name, m.State, m.Incarnation)
				lines++
			}
		}
		if view := n.View(); len(view.Alive()) != len(list) && lines < 20 {
			c.t.Logf("%s sees %d alive, %d known; %d are running", n.Self.GetName(), len(view.Alive()), len(view.All()), len(list))
			lines++
		}
	}
}

func (c *cluster) running() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		if n.running {
			list = append(list, n)
		}
	}
	return list
}

// allSee reports whether every running member sees the named member in the given state.
func (c *cluster) allSee(name string, state dhmember.State) bool {
	for _, n := range c.running() {
		if m, ok := n.View().Get(name); !ok || m.State != state {
			return false
		}
	}
	return true
}

// converged reports whether every running member sees exactly the running members as alive.
func (c *cluster) converged() bool {
	list := c.running()
	for _, n := range list {
		if len(n.View().Alive()) != len(list) {
			return false
		}
		for _, other := range list {
			if m, ok := n.View().Get(other.Self.GetName()); !ok || m.State != dhmember.Alive {
				return false
			}
		}
	}
	return true
}

// messageRand returns the random source of the next message between two members.
// It does not depend on the order in which goroutines send.
func (c *cluster) messageRand(from, to, kind string) *rand.Rand {
	link := from + ">" + to + kind
	c.sentPerLink[link]++
	return rand.New(rand.NewPCG(c.seed+c.sentPerLink[link], xxhash.Sum64String(link)))
}

// transmit simulates one message: it calls deliver after a random delay, twice for
// a duplicated message, or not at all for a lost one.
func (c *cluster) transmit(from, to *node, kind string, msg *dhpb.GossipMessage, deliver func(*dhpb.GossipMessage)) {
	data, err := proto.Marshal(msg)
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	c.bytes += len(data)
	rnd := c.messageRand(from.Self.GetName(), to.Self.GetName(), kind)
	copies := 1
	if rnd.Float64() < c.duplicate {
		copies = 2
	}
	if rnd.Float64() < c.loss || c.partitioned[from.Self.GetZone()] != c.partitioned[to.Self.GetZone()] {
		copies = 0
	}
	for range copies {
		c.timers.After(time.Duration(rnd.Int64N(int64(c.delay))), func(time.Time) {
			got := new(dhpb.GossipMessage)
			assert.NilError(c.t, proto.Unmarshal(data, got))
			deliver(got)
		})
	}
}

// Gossip implements dhmember.Transport.
func (n *node) Gossip(ctx context.Context, address string, msg *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	c := n.cluster
	var to *node
	for _, other := range c.running() {
		if other.Self.GetAddress() == address {
			to = other
		}
	}
	answer := make(chan *dhpb.GossipMessage, 4) // two copies of each of two answers
	if to != nil && n.running {
		c.transmit(n, to, "request", msg, func(got *dhpb.GossipMessage) {
			if !to.running {
				return
			}
			c.group.Go(func(context.Context) error {
				reply, err := to.Receive(ctx, got)
				if err == nil {
					c.transmit(to, n, "answer", reply, func(reply *dhpb.GossipMessage) { answer <- reply })
				}
				return nil
			})
		})
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, errors.New("no answer in time")
	}
}
