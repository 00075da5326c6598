package dhfake

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// Keyed is a message whose fate follows from its key in place of its number on
// the link, so that it does not depend on the order in which goroutines send.
type Keyed interface{ Key() string }

// Handler answers a message. Its error reaches the sender like an answer.
type Handler func(ctx context.Context, from string, message any) (answer any, err error)

// Faults are the faults of all links. A random delay between the two bounds
// also reorders messages.
type Faults struct {
	// Loss and Duplicate are probabilities of each message and each answer.
	Loss, Duplicate    float64
	MinDelay, MaxDelay time.Duration
}

// Network connects nodes by messages with answers. Messages are passed by
// reference and must not be changed after they are sent.
type Network struct {
	timers *dhtimer.Stepped
	seed   uint64
	group  *dhgroup.Group

	mu     sync.Mutex
	faults Faults
	nodes  map[string]*Node
	side   map[string]int
	delays map[string]time.Duration
	counts map[link]uint64
	sent   int
}

type link struct{ from, to, key string }

func linkOf(from, to string, message any) link {
	l := link{from: from, to: to}
	if k, ok := message.(Keyed); ok {
		l.key = k.Key()
	}
	return l
}

// Node is one run of a process on the network, until Crash.
type Node struct {
	network *Network
	name    string
	handler Handler
	group   *dhgroup.Group
}

// NewNetwork returns a network without faults or delay.
func NewNetwork(timers *dhtimer.Stepped, seed uint64) *Network {
	return &Network{
		timers: timers, seed: seed, group: dhgroup.New(context.Background()),
		nodes: make(map[string]*Node), counts: make(map[link]uint64),
	}
}

// Stop ends all nodes. Goroutines that wait for an answer return.
func (n *Network) Stop() {
	n.mu.Lock()
	nodes := n.nodes
	n.nodes = make(map[string]*Node)
	n.mu.Unlock()
	for _, node := range nodes {
		node.group.Stop()
	}
	n.group.Stop()
}

// Set replaces the faults.
func (n *Network) Set(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Partition separates the groups from each other. Nodes in no group form one
// more. Without arguments it connects all nodes again.
func (n *Network) Partition(groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.side = make(map[string]int)
	for i, group := range groups {
		for _, name := range group {
			n.side[name] = i + 1
		}
	}
}

// Delay adds a delay to each message and each answer from and to a node.
func (n *Network) Delay(name string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = make(map[string]time.Duration)
	}
	n.delays[name] = d
}

// Sent returns the number of messages and answers sent so far.
func (n *Network) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// Start connects a node, in place of an earlier one of that name. A nil
// handler makes a node that only sends.
func (n *Network) Start(name string, handler Handler) *Node {
	node := &Node{network: n, name: name, handler: handler, group: dhgroup.New(n.group.Context())}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = node
	return node
}

// Crash disconnects the node. Its handlers' contexts end, its answers are lost
// and its Send fails.
func (n *Node) Crash() {
	n.network.mu.Lock()
	if n.network.nodes[n.name] == n {
		delete(n.network.nodes, n.name)
	}
	n.network.mu.Unlock()
	n.group.Stop()
}

// Name returns the node's name.
func (n *Node) Name() string { return n.name }

// Group returns the group of the node's goroutines, which ends with Crash.
func (n *Node) Group() *dhgroup.Group { return n.group }

func (n *Node) up() bool {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.nodes[n.name] == n
}

type result struct {
	answer any
	err    error
}

// Send sends a message to a node and waits for its answer until ctx ends. A
// lost message gives no error before that.
func (n *Node) Send(ctx context.Context, to string, message any) (any, error) {
	if !n.up() {
		return nil, fmt.Errorf("node %s is down", n.name)
	}
	results := make(chan result, 1)
	l := linkOf(n.name, to, message)
	id := n.network.number(l)
	n.network.transmit(l, id, func(twin uint64) {
		n.network.deliver(n, to, message, id|twin<<62, results)
	})
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.group.Context().Done():
		return nil, fmt.Errorf("node %s is down", n.name)
	}
}

// number numbers the messages of a link.
func (n *Network) number(l link) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts[l]++
	return n.counts[l]
}

// answerBit is set in the number of an answer, next to that of its message.
const answerBit = 1 << 61

func (n *Network) deliver(from *Node, to string, message any, id uint64, results chan result) {
	n.mu.Lock()
	node := n.nodes[to]
	n.mu.Unlock()
	if node == nil || node.handler == nil {
		return
	}
	node.group.Go(func(ctx context.Context) error {
		answer, err := node.handler(ctx, from.name, message)
		if !node.up() {
			return nil
		}
		n.transmit(linkOf(to, from.name, message), id|answerBit, func(uint64) {
			select {
			case results <- result{answer: answer, err: err}:
			default: // a duplicate
			}
		})
		return nil
	})
}

// transmit schedules the arrivals of one message: none, one or two.
func (n *Network) transmit(l link, id uint64, arrive func(twin uint64)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	random := n.random(l, id)
	copies := 1
	if random.Float64() < n.faults.Loss {
		copies = 0
	}
	if random.Float64() < n.faults.Duplicate {
		copies++
	}
	for i := range copies {
		d := n.faults.MinDelay + n.delays[l.from] + n.delays[l.to]
		if spread := n.faults.MaxDelay - n.faults.MinDelay; spread > 0 {
			d += time.Duration(random.Int64N(int64(spread)))
		}
		n.timers.After(d, func(time.Time) {
			if n.Connected(l.from, l.to) {
				arrive(uint64(i))
			}
		})
	}
}

// Connected reports whether no partition separates two nodes.
func (n *Network) Connected(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.side[from] == n.side[to]
}

// random returns the generator of one message, so that the order in which
// goroutines send does not change what happens to each message.
func (n *Network) random(l link, id uint64) *rand.Rand {
	key := binary.LittleEndian.AppendUint64([]byte(l.from+"\x00"+l.to+"\x00"+l.key), id)
	return rand.New(rand.NewPCG(n.seed, xxhash.Sum64(key)))
}
