// Package dhledger keeps the one bill of each request.
//
// A bill is safe once a majority of voters has synced it or, when no majority
// answers, once 3 VMs of the reachable side hold it in memory (all of them
// when there are fewer). Holders hand their bills over to the voters later.
// Bills are merged by request id: the bill with the lowest revision and then
// the lowest content hash stays. That order does not depend on who saw which
// bill first, so all voters agree.
//
// # Usage
//
//	ledger := &dhledger.Ledger{Name: "vm-a", Group: group, Timers: timers, Voters: voters, Reachable: peers, Known: all}
//	err := ledger.Put(ctx, bill) // before the last chunk is released
//	left, err := ledger.HandOver(ctx) // on a tick
//	export, err := ledger.Export(ctx, after, 1000)
//
// A VM with a voter also sets Store. Ledger implements the bill methods of the
// peer service.
package dhledger

import (
	"cmp"
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// The defaults and bounds of a Ledger.
const (
	// Holders is how many VMs hold a bill that no majority of voters has synced.
	Holders = 3
	// VoterTimeout is how long one message to a voter or holder may take.
	VoterTimeout = 500 * time.Millisecond
	// PutTimeout is when Put gives up.
	PutTimeout = 3 * time.Second
	// MaxBatch is the number of bills in one message.
	MaxBatch = 512
	// MaxWaiting bounds the bills in calls of Put on one VM.
	MaxWaiting = 16384
	// MaxHeld bounds the bills that one VM holds for a hand-over.
	MaxHeld = 100_000
	// MaxBillBytes bounds the encoded size of a bill.
	MaxBillBytes = 2048

	retryPeriod = 100 * time.Millisecond
)

// Client is the part of the peer service that the ledger needs.
type Client interface {
	PutBills(ctx context.Context, r *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error)
	ListBills(ctx context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error)
}

// Peer is another VM, or this one.
type Peer struct {
	Name string
	// VoterID is the identity of the VM's voter, when it has one.
	VoterID string
	Client  Client
}

// Ledger makes bills safe for one entry VM. Its fields are set before use;
// zero settings mean the defaults.
type Ledger struct {
	// Name is this VM's name.
	Name   string
	Group  *dhgroup.Group
	Timers dhtimer.Service
	// Store is set on a VM with a voter.
	Store *Store
	// Voters returns the set of voters, or the old and the new set while it
	// changes. A majority of each set is needed.
	Voters func() [][]Peer
	// Reachable returns the other VMs that this VM can reach.
	Reachable func() []Peer
	// Known returns all other VMs that may hold bills, reachable or not.
	Known                    func() []Peer
	VoterTimeout, PutTimeout time.Duration
	MaxWaiting, MaxHeld      int

	mu      sync.Mutex
	waiting int
	held    map[string]*dhpb.Bill
	lanes   map[laneKey]*lane
	copied  map[copyKey]uint64
	handing bool
}

func (l *Ledger) maxWaiting() int {
	if l.MaxWaiting <= 0 {
		return MaxWaiting
	}
	return l.MaxWaiting
}

func (l *Ledger) maxHeld() int {
	if l.MaxHeld <= 0 {
		return MaxHeld
	}
	return l.MaxHeld
}

// Put returns nil when the bill is safe. Code bill-not-safe: the caller must
// not get the last chunk; the bill may still be charged, once.
func (l *Ledger) Put(ctx context.Context, bill *dhpb.Bill) error {
	if err := checkBill(bill); err != nil {
		return err
	}
	if !l.enter() {
		return dhcode.Errorf(dhcode.BillNotSafe, "%d bills are waiting, no more are accepted", l.maxWaiting())
	}
	defer l.leave()
	ctx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.PutTimeout, PutTimeout))
	defer cancel()
	p := &put{ledger: l, bill: proto.CloneOf(bill), synced: make(map[string]bool), holding: make(map[string]bool)}
	for {
		if p.toVoters(ctx) || p.toHolders(ctx) {
			return nil
		}
		if err := dhtimer.Sleep(ctx, l.Timers, retryPeriod); err != nil {
			return dhcode.Errorf(dhcode.BillNotSafe, "bill of request %q: %d voters and %d VMs have it: %v",
				bill.GetRequestId(), len(p.synced), len(p.holding), context.Cause(ctx))
		}
	}
}

func (l *Ledger) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= l.maxWaiting() {
		return false
	}
	l.waiting++
	return true
}

func (l *Ledger) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

func checkBill(bill *dhpb.Bill) error {
	if size := proto.Size(bill); bill.GetRequestId() == "" || size > MaxBillBytes {
		return dhcode.Errorf(dhcode.RequestMalformed, "bill with request id %q has %d bytes, expected an id and at most %d bytes",
			bill.GetRequestId(), size, MaxBillBytes)
	}
	return nil
}

// majority reports whether each set has a majority of VMs in have.
func majority(sets [][]Peer, have map[string]bool) bool {
	for _, set := range sets {
		n := 0
		for _, p := range set {
			if have[p.Name] {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return len(sets) > 0
}

// distinct returns the VMs of several sets, each once.
func distinct(sets [][]Peer) []Peer {
	seen := make(map[string]bool)
	var list []Peer
	for _, set := range sets {
		for _, p := range set {
			if !seen[p.Name] {
				seen[p.Name] = true
				list = append(list, p)
			}
		}
	}
	return list
}
