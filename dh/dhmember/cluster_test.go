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

// cluster is a number of members on a stepped clock and a network in memory.
type cluster struct {
	t      *testing.T
	timers *dhtimer.Stepped
	group  *dhgroup.Group
	seed   uint64
	// loss and duplicate are probabilities per message, delay the longest one way.
	loss, duplicate float64
	delay           time.Duration
	prepare         func(*node)

	mu    sync.Mutex
	nodes []*node
	cut   map[string]bool // zones on one side of a partition
	sent  map[string]uint64
	// messages and bytes count requests and answers.
	messages, bytes int
}

type node struct {
	*dhmember.Members
	cluster *cluster
	stop    context.CancelFunc
	up      bool
}

func run(t *testing.T, f func(c *cluster)) {
	// Goroutines that one event starts run in the same order each time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, timers: dhtimer.NewStepped(), group: dhgroup.New(context.Background()), seed: 1,
			delay: 5 * time.Millisecond, cut: make(map[string]bool), sent: make(map[string]uint64),
		}
		defer func() {
			for _, n := range c.nodes {
				n.crash()
			}
			c.step(5 * time.Second)
			assert.NilError(t, c.group.Wait())
		}()
		f(c)
	})
}

func zoneOf(i int) string { return "mrc-" + string(rune('a'+i%4)) }

// start adds members; the first of each of three zones is a seed.
func (c *cluster) start(count int) {
	for i := range count {
		c.add(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), zoneOf(i))
	}
	c.step(10 * time.Second)
}

func (c *cluster) add(name, address, zone string) *node {
	n := &node{cluster: c, up: true, Members: &dhmember.Members{
		Timers: c.timers, Group: c.group, Seed: c.seed,
		Self:  &dhpb.MemberRecord{Name: name, Address: address, Zone: zone, Region: "mauricie"},
		Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}}
	n.Transport = n
	if c.prepare != nil {
		c.prepare(n)
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
	n.up = false
	n.stop()
}

// restart starts a member with the same name, address and zone.
func (n *node) restart() *node {
	return n.cluster.add(n.Self.GetName(), n.Self.GetAddress(), n.Self.GetZone())
}

// step moves time by d, event by event, and lets goroutines settle after each.
func (c *cluster) step(d time.Duration) {
	end := c.timers.Now().Add(d)
	c.timers.After(d, func(time.Time) {})
	for synctest.Wait(); c.timers.Now().Before(end); synctest.Wait() {
		c.timers.Next()
	}
}

// within steps until done holds and returns how long that took.
func (c *cluster) within(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	start := c.timers.Now()
	for !done() {
		if c.timers.Now().Sub(start) >= limit {
			c.report()
			c.t.Fatalf("seed %d: not within %s: %s", c.seed, limit, what)
		}
		c.step(100 * time.Millisecond)
	}
	return c.timers.Now().Sub(start)
}

// report logs up to 20 views that differ from the running members.
func (c *cluster) report() {
	list, lines := c.up(), 0
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

func (c *cluster) up() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		if n.up {
			list = append(list, n)
		}
	}
	return list
}

// all says whether every running member sees one in a state.
func (c *cluster) all(name string, state dhmember.State) bool {
	for _, n := range c.up() {
		if m, ok := n.View().Get(name); !ok || m.State != state {
			return false
		}
	}
	return true
}

// converged says whether every running member sees exactly the running ones alive.
func (c *cluster) converged() bool {
	list := c.up()
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

// fate returns the random numbers of the next message between two members.
// They don't depend on the order in which goroutines send.
func (c *cluster) fate(from, to, kind string) *rand.Rand {
	link := from + ">" + to + kind
	c.sent[link]++
	return rand.New(rand.NewPCG(c.seed+c.sent[link], xxhash.Sum64String(link)))
}

// carry calls deliver after the delay of one message, or twice, or never.
func (c *cluster) carry(from, to *node, kind string, msg *dhpb.GossipMessage, deliver func(*dhpb.GossipMessage)) {
	data, err := proto.Marshal(msg)
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	c.bytes += len(data)
	rnd := c.fate(from.Self.GetName(), to.Self.GetName(), kind)
	copies := 1
	if rnd.Float64() < c.duplicate {
		copies = 2
	}
	if rnd.Float64() < c.loss || c.cut[from.Self.GetZone()] != c.cut[to.Self.GetZone()] {
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
	for _, other := range c.up() {
		if other.Self.GetAddress() == address {
			to = other
		}
	}
	answer := make(chan *dhpb.GossipMessage, 4) // two copies of each of two answers
	if to != nil && n.up {
		c.carry(n, to, "request", msg, func(got *dhpb.GossipMessage) {
			if !to.up {
				return
			}
			c.group.Go(func(context.Context) error {
				reply, err := to.Receive(ctx, got)
				if err == nil {
					c.carry(to, n, "answer", reply, func(reply *dhpb.GossipMessage) { answer <- reply })
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
