// Package dhledger stores exactly one bill per request.
//
// A bill is safe once a majority of voters has synced it to disk. If no majority
// answers, it is safe once 3 VMs on the reachable side of the partition hold it
// in memory, or all of them if there are fewer than 3. Those VMs, the holders,
// hand their bills over to the voters later. Bills are merged by request id: the
// bill with the lowest revision, and among those the lowest content hash, is
// kept. This order does not depend on the order in which bills arrive, so all
// voters keep the same bill.
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
	// Holders is the number of VMs that hold a bill in memory when no majority of
	// voters has synced it.
	Holders = 3
	// VoterTimeout is the timeout of one message to a voter or holder.
	VoterTimeout = 500 * time.Millisecond
	// PutTimeout is the timeout of Put, including its retries.
	PutTimeout = 3 * time.Second
	// MaxBatch is the maximum number of bills in one message.
	MaxBatch = 512
	// MaxWaiting is the maximum number of concurrent Put calls on one VM, and of
	// bills queued for one peer.
	MaxWaiting = 16384
	// MaxHeld is the maximum number of bills that one VM holds in memory until it
	// hands them over.
	MaxHeld = 100_000
	// MaxBillBytes is the maximum encoded size of a bill.
	MaxBillBytes = 2048

	retryPeriod = 100 * time.Millisecond
)

// Client is the part of the peer service that the ledger needs.
type Client interface {
	PutBills(ctx context.Context, r *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error)
	ListBills(ctx context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error)
}

// Peer is a VM that stores bills; it may be the local VM.
type Peer struct {
	Name string
	// VoterID is the id of the VM's voter, or empty if it has none.
	VoterID string
	Client  Client
}

// Ledger stores the bills of one entry VM on voters and holders. Its exported
// fields must be set before use; a zero limit or timeout selects the default.
type Ledger struct {
	// Name is this VM's name.
	Name   string
	Group  *dhgroup.Group
	Timers dhtimer.Service
	// Store is the local voter's store, or nil on a VM without a voter.
	Store *Store
	// Voters returns the voter set, or both the old and the new set during a
	// voter set change. A bill needs a majority of each set.
	Voters func() [][]Peer
	// Reachable returns the other VMs that this VM can reach.
	Reachable func() []Peer
	// Known returns all other VMs that may hold bills, reachable or not.
	Known                    func() []Peer
	VoterTimeout, PutTimeout time.Duration
	MaxWaiting, MaxHeld      int

	mu          sync.Mutex
	waiting     int
	held        map[string]*dhpb.Bill
	sendQueues  map[sendQueueKey]*sendQueue
	copyCursors map[voterPair]uint64
	handingOver bool
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

// Put stores a bill and returns nil once it is safe. After an error with code
// bill-not-safe, the last chunk of the answer must not be sent to the caller; the
// bill may still be charged, but at most once.
func (l *Ledger) Put(ctx context.Context, bill *dhpb.Bill) error {
	if err := checkBill(bill); err != nil {
		return err
	}
	if !l.reserveWaiting() {
		return dhcode.Errorf(dhcode.BillNotSafe, "%d bills are waiting, no more are accepted", l.maxWaiting())
	}
	defer l.releaseWaiting()
	ctx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.PutTimeout, PutTimeout))
	defer cancel()
	p := &putCall{ledger: l, bill: proto.CloneOf(bill), syncedBy: make(map[string]bool), heldBy: make(map[string]bool)}
	for {
		if p.syncOnVoters(ctx) || p.holdOnVMs(ctx) {
			return nil
		}
		if err := dhtimer.Sleep(ctx, l.Timers, retryPeriod); err != nil {
			return dhcode.Errorf(dhcode.BillNotSafe, "bill of request %q: %d voters and %d VMs have it: %v",
				bill.GetRequestId(), len(p.syncedBy), len(p.heldBy), context.Cause(ctx))
		}
	}
}

func (l *Ledger) reserveWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= l.maxWaiting() {
		return false
	}
	l.waiting++
	return true
}

func (l *Ledger) releaseWaiting() {
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

// majority reports whether have contains a majority of the VMs of each set.
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

// distinct returns the union of several sets of VMs, each VM once.
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
