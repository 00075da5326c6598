package dhledger_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// journal is an in-memory Journal.
type journal struct {
	mu      sync.Mutex
	records [][]byte
	err     error
	gate    chan struct{} // if set, each Append blocks until it receives a value
}

func (j *journal) Append(record []byte, apply func()) error {
	if j.gate != nil {
		<-j.gate
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err != nil {
		return j.err
	}
	j.records = append(j.records, record)
	apply()
	return nil
}

// cluster is a set of VMs. The first VMs, as many as voters says, have a voter.
type cluster struct {
	timers   *dhtimer.Stepped
	group    *dhgroup.Group
	vms      []*dhledger.Ledger
	journals []*journal
	voters   int
	// running is locked for reading while a VM handles a message, so that start
	// waits until the previous Ledger no longer writes to the journal.
	running []sync.RWMutex

	mu            sync.Mutex
	side          []int // VMs with different sides cannot reach each other
	hung          map[int]bool
	loseAnswersOf map[int]bool // VMs whose responses are lost
	messages      int
}

func newCluster(t testing.TB, vms, voters int) *cluster {
	c := &cluster{
		timers: dhtimer.NewStepped(), group: dhgroup.New(context.Background()), voters: voters,
		side: make([]int, vms), hung: make(map[int]bool), loseAnswersOf: make(map[int]bool),
		vms: make([]*dhledger.Ledger, vms), journals: make([]*journal, vms), running: make([]sync.RWMutex, vms),
	}
	for i := range vms {
		c.journals[i] = &journal{}
		c.start(t, i)
	}
	t.Cleanup(func() {
		c.group.Stop()
		_ = c.group.Wait()
	})
	return c
}

// start starts or restarts VM i. Bills that it held in memory are lost.
func (c *cluster) start(t testing.TB, i int) {
	c.running[i].Lock()
	defer c.running[i].Unlock()
	l := &dhledger.Ledger{Name: name(i), Group: c.group, Timers: c.timers}
	if i < c.voters {
		l.Store = &dhledger.Store{VoterID: "voter of " + name(i), Journal: c.journals[i]}
		for _, record := range c.journals[i].records {
			assert.NilError(t, l.Store.Restore(record))
		}
	}
	l.Voters = func() [][]dhledger.Peer {
		return [][]dhledger.Peer{c.peers(i, 0, c.voters, func(int) bool { return true })}
	}
	l.Reachable = func() []dhledger.Peer {
		return c.peers(i, 0, len(c.vms), func(j int) bool { return j != i && c.reaches(i, j) })
	}
	l.Known = func() []dhledger.Peer { return c.peers(i, 0, len(c.vms), func(j int) bool { return j != i }) }
	c.vms[i] = l
}

func (c *cluster) peers(from, first, end int, include func(int) bool) []dhledger.Peer {
	var list []dhledger.Peer
	for j := first; j < end; j++ {
		if include(j) {
			list = append(list, dhledger.Peer{Name: name(j), VoterID: "voter of " + name(j), Client: &link{c, from, j}})
		}
	}
	return list
}

func (c *cluster) loseAnswers(lose map[int]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswersOf = lose
}

func (c *cluster) reaches(i, j int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.side[i] == c.side[j]
}

func (c *cluster) partition(sides ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	copy(c.side, sides)
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

// link is the network connection from one VM to another.
type link struct {
	cluster  *cluster
	from, to int
}

var errLost = errors.New("connection lost")

func (l *link) transmit(ctx context.Context) (lost bool, err error) {
	c := l.cluster
	if !c.reaches(l.from, l.to) {
		return true, errLost
	}
	c.mu.Lock()
	hung, lost := c.hung[l.to], c.loseAnswersOf[l.to]
	c.messages++
	c.mu.Unlock()
	if hung {
		<-ctx.Done()
		return true, ctx.Err()
	}
	return lost, nil
}

func (l *link) PutBills(ctx context.Context, r *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	lost, err := l.transmit(ctx)
	if err != nil {
		return nil, err
	}
	l.cluster.running[l.to].RLock()
	defer l.cluster.running[l.to].RUnlock()
	answer, err := l.cluster.vms[l.to].PutBills(ctx, r)
	if lost {
		return nil, errLost
	}
	return answer, err
}

func (l *link) ListBills(ctx context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	if lost, err := l.transmit(ctx); err != nil || lost {
		return nil, errLost
	}
	l.cluster.running[l.to].RLock()
	defer l.cluster.running[l.to].RUnlock()
	return l.cluster.vms[l.to].ListBills(ctx, r)
}

// put calls Put on VM i. The clock does not advance, so Put must succeed without
// a timeout.
func (c *cluster) put(t testing.TB, i int, bill *dhpb.Bill) error {
	return c.vms[i].Put(t.Context(), bill)
}

// putUntilTimeout calls Put on VM i and advances the clock until it returns.
func (c *cluster) putUntilTimeout(i int, bill *dhpb.Bill) error {
	done := make(chan error, 1)
	c.group.Go(func(ctx context.Context) error {
		done <- c.vms[i].Put(ctx, bill)
		return nil
	})
	for {
		select {
		case err := <-done:
			return err
		default:
			c.timers.Step(10 * time.Millisecond)
			runtime.Gosched()
		}
	}
}

// handOver calls HandOver on every VM and returns how many bills are still held.
func (c *cluster) handOver(t testing.TB) int {
	left := 0
	for _, l := range c.vms {
		n, _ := l.HandOver(t.Context())
		left += n
	}
	return left
}

// export reads all pages and returns the bill of each request and the last page.
func (c *cluster) export(t testing.TB, i, limit int) (map[string]*dhpb.Bill, *dhledger.Export) {
	t.Helper()
	bills, after := make(map[string]*dhpb.Bill), uint64(0)
	for {
		page, err := c.vms[i].Export(t.Context(), after, limit)
		assert.NilError(t, err)
		for _, b := range page.Bills {
			bills[b.GetRequestId()] = b
		}
		if page.Complete || page.Next == after || len(page.Bills) < limit {
			return bills, page
		}
		after = page.Next
	}
}

func bill(id string, revision uint64, tokens int) *dhpb.Bill {
	return &dhpb.Bill{RequestId: id, Account: "crew-east", Route: "cut-lists", Model: "oak", Version: "v1", Tokens: int32(tokens), Revision: revision}
}

func codeOf(err error) string { return dhcode.Of(err).String() }
