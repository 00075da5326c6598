package dhledger_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhpb"
)

// Guards against one message, or one sync, per bill instead of one for all bills
// of concurrent Put calls.
func TestWaitingBillsShareMessages(t *testing.T) {
	c := newCluster(t, 3, 3)
	gate := make(chan struct{})
	for _, j := range c.journals {
		j.gate = gate
	}
	const bills = 1000
	done := make(chan error, bills)
	for i := range bills {
		c.group.Go(func(ctx context.Context) error {
			done <- c.vms[0].Put(ctx, bill(fmt.Sprint(i), 1, 10))
			return nil
		})
	}
	c.group.Go(func(ctx context.Context) error {
		for {
			select {
			case gate <- struct{}{}:
			case <-ctx.Done():
				close(gate)
				return nil
			}
		}
	})
	for range bills {
		assert.NilError(t, <-done)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d messages to 3 voters for %d bills", c.messages, bills)
	assert.Assert(t, c.messages < bills)
}

// Guards against a request that is billed twice, or differently on two voters,
// after resends, duplicates with different content and lost responses in any
// order.
func TestVotersAgreeOnDuplicates(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := newCluster(t, 4, 3)
		best := make(map[string]*dhpb.Bill)
		for range 20 {
			b := bill(fmt.Sprint(rng.IntN(5)), uint64(1+rng.IntN(2)), rng.IntN(3))
			best[b.GetRequestId()] = dhledger.Merge(best[b.GetRequestId()], b)
			c.loseAnswers(map[int]bool{rng.IntN(3): rng.IntN(2) == 0})
			assert.NilError(t, c.put(t, rng.IntN(4), b), "seed %d", seed)
		}
		c.loseAnswers(nil)
		got, last := c.export(t, 3, 1+rng.IntN(7))
		assert.Assert(t, last.Complete, "seed %d: %v", seed, last.Missing)
		assert.Equal(t, len(got), len(best))
		for id, b := range best {
			assert.Assert(t, proto.Equal(got[id], b), "seed %d: request %s", seed, id)
		}
	}
}

// Guards against bills that are lost in a partitioned zone, against an export
// that is marked complete while VMs still hold bills, and against bills that are
// held by fewer VMs than required.
func TestPartitionAndHandOver(t *testing.T) {
	c := newCluster(t, 8, 3)
	c.partition(0, 0, 1, 0, 0, 1, 1, 1)
	assert.NilError(t, c.put(t, 0, bill("majority side", 1, 1)))
	assert.NilError(t, c.put(t, 5, bill("minority side", 1, 1)))
	holders := 0
	for _, l := range c.vms {
		holders += l.Held()
	}
	assert.Equal(t, holders, dhledger.Holders)
	assert.Equal(t, c.handOver(t), holders, "no majority, so nothing is forgotten")
	_, page := c.export(t, 0, 10)
	assert.Assert(t, !page.Complete)
	assert.Assert(t, len(page.Missing) > 0)

	c.partition(0, 0, 0, 0, 0, 0, 0, 0)
	_, page = c.export(t, 0, 10)
	assert.Equal(t, len(page.Missing), holders, "%v", page.Missing)
	assert.Equal(t, c.handOver(t), 0)
	bills, page := c.export(t, 0, 10)
	assert.Assert(t, page.Complete)
	assert.Equal(t, len(bills), 2)

	for _, side := range [][]int{{0, 0, 0, 0, 0, 0, 1, 1}, {0, 0, 0, 0, 0, 0, 0, 1}} {
		c.partition(side...)
		assert.NilError(t, c.put(t, 7, bill(fmt.Sprint(side), 1, 1)), "all VMs of a small side are enough")
	}
	assert.Equal(t, c.vms[7].Held(), 2)
	assert.Equal(t, c.vms[6].Held(), 1)
}

// Guards against requiring a majority of only one voter set during a voter set
// change.
func TestJointSets(t *testing.T) {
	c := newCluster(t, 6, 6)
	old, next := c.peers(0, 0, 3, func(int) bool { return true }), c.peers(0, 3, 6, func(int) bool { return true })
	c.vms[0].Voters = func() [][]dhledger.Peer { return [][]dhledger.Peer{old, next} }
	c.partition(0, 0, 0, 1, 1, 0)
	assert.NilError(t, c.put(t, 0, bill("a", 1, 1)))
	assert.Equal(t, c.vms[0].Held(), 1, "the new set has no majority, so the bill must be held")
	c.partition(0, 0, 0, 0, 1, 0)
	assert.NilError(t, c.put(t, 0, bill("b", 1, 1)))
	assert.Equal(t, c.handOver(t), 0)
}

// Guards against acknowledging a bill that is not safe, and against unbounded
// queues.
func TestBillNotSafe(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.mu.Lock()
	c.hung[1], c.hung[2] = true, true
	c.mu.Unlock()
	assert.Equal(t, codeOf(c.putUntilTimeout(0, bill("a", 1, 1))), "bill-not-safe")
	c.vms[0].MaxHeld = 1
	assert.Equal(t, codeOf(c.putUntilTimeout(0, bill("b", 1, 1))), "bill-not-safe")
	assert.Equal(t, c.vms[0].Held(), 1)
	_, err := c.vms[0].PutBills(t.Context(), &dhpb.PutBillsRequest{Bills: make([]*dhpb.Bill, dhledger.MaxBatch+1)})
	assert.Equal(t, codeOf(err), "request-too-large")
	assert.Equal(t, codeOf(c.put(t, 0, &dhpb.Bill{})), "request-malformed")

	store := &dhledger.Store{Journal: &journal{}, MaxBills: 1}
	assert.NilError(t, store.Put([]*dhpb.Bill{bill("a", 1, 1)}))
	assert.Equal(t, codeOf(store.Put([]*dhpb.Bill{bill("b", 1, 1)})), "bill-not-safe")
	assert.NilError(t, store.Put([]*dhpb.Bill{bill("a", 0, 1)}))

	faulty := &journal{err: errors.New("disk full")}
	store = &dhledger.Store{Journal: faulty}
	assert.Equal(t, codeOf(store.Put([]*dhpb.Bill{bill("a", 1, 1)})), "disk-failed")
	faulty.err = nil
	assert.Equal(t, codeOf(store.Put([]*dhpb.Bill{bill("a", 1, 1)})), "disk-failed")
	bills, _ := store.List(0, 10)
	assert.Equal(t, len(bills), 0)
}

// Guards against a Put that ignores MaxWaiting.
func TestWaitingIsBounded(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.vms[0].MaxWaiting = 1
	for _, j := range c.journals {
		j.gate = make(chan struct{})
	}
	first := make(chan error, 1)
	c.group.Go(func(ctx context.Context) error {
		first <- c.vms[0].Put(ctx, bill("a", 1, 1))
		return nil
	})
	// Voters 0 and 1 accept a message only while the first bill is waiting.
	c.journals[0].gate <- struct{}{}
	assert.Equal(t, codeOf(c.vms[0].Put(t.Context(), bill("b", 1, 1))), "bill-not-safe")
	c.journals[1].gate <- struct{}{}
	assert.NilError(t, <-first)
	c.journals[2].gate <- struct{}{}
}

// Guards against bills or cursors that change after a restart from the journal or
// from a snapshot.
func TestRestart(t *testing.T) {
	j := &journal{}
	store := &dhledger.Store{VoterID: "a", Journal: j}
	for i := range 50 {
		assert.NilError(t, store.Put([]*dhpb.Bill{bill(fmt.Sprint(i%20), uint64(50-i), i), bill("x"+fmt.Sprint(i), 1, i)}))
	}
	want, end := store.List(0, 1000)
	_, middle := store.List(0, 33)
	tail, _ := store.List(middle, 1000)

	snapshot := slices.Collect(store.Snapshot())
	for _, records := range [][][]byte{j.records, snapshot} {
		restored := &dhledger.Store{VoterID: "a", Journal: &journal{}}
		for _, record := range records {
			assert.NilError(t, restored.Restore(record))
		}
		got, next := restored.List(0, 1000)
		assert.Equal(t, next, end)
		assert.Equal(t, len(got), len(want))
		rest, _ := restored.List(middle, 1000)
		assert.Equal(t, len(rest), len(tail))
		for i := range got {
			assert.Assert(t, proto.Equal(got[i], want[i]))
		}
		otherVoterBills, _ := (&dhledger.Store{VoterID: "b"}).List(middle, 10)
		assert.Equal(t, len(otherVoterBills), 0)
	}
	assert.Equal(t, codeOf(store.Restore([]byte("torn"))), "disk-corrupt")
}

// Guards against an acknowledged bill that a restart replaces by an earlier one, a
// removed one that comes back, and a cursor that misses bills: a snapshot is written
// in parts, and records appended meanwhile precede older parts in the file.
func TestRecordsAppendedDuringSnapshot(t *testing.T) {
	j := &journal{}
	store := &dhledger.Store{VoterID: "a", Journal: j}
	for i := range 20 {
		assert.NilError(t, store.Put([]*dhpb.Bill{bill(fmt.Sprint(i), 3, i)}))
	}
	snapshot := store.Snapshot()
	appended := len(j.records)
	assert.NilError(t, store.Put([]*dhpb.Bill{bill("4", 2, 4), bill("new", 1, 0)}))
	assert.NilError(t, store.Forget([]string{"7"}))
	file := append(slices.Clone(j.records[appended:]), slices.Collect(snapshot)...)
	restored := &dhledger.Store{VoterID: "a", Journal: &journal{}}
	for _, record := range file {
		assert.NilError(t, restored.Restore(record))
	}
	for after := uint64(0); ; {
		want, end := store.List(after, 3)
		got, next := restored.List(after, 3)
		assert.Equal(t, next, end)
		assert.Equal(t, len(got), len(want))
		for i := range got {
			assert.Assert(t, proto.Equal(got[i], want[i]), "%v", got[i])
		}
		if len(want) == 0 {
			break
		}
		after = end
	}
	assert.NilError(t, restored.Put([]*dhpb.Bill{bill("7", 1, 1)}))
	n, _ := restored.Len()
	assert.Equal(t, n, 20)
}

// Guards against a bill that is charged again after it was exported and removed,
// before or after a restart, and against cursors that go back.
func TestForgottenBillsStayForgotten(t *testing.T) {
	j := &journal{}
	store := &dhledger.Store{Journal: j, MaxBills: 3, MaxForgotten: 4}
	ids := []string{"a", "b", "c"}
	for _, id := range ids {
		assert.NilError(t, store.Put([]*dhpb.Bill{bill(id, 2, 1)}))
	}
	_, end := store.List(0, 10)
	assert.NilError(t, store.Forget(ids))
	snapshot := slices.Collect(store.Snapshot())
	records := j.records
	for _, restored := range [][][]byte{nil, records, snapshot} {
		s := store
		if restored != nil {
			s = &dhledger.Store{Journal: &journal{}, MaxBills: 3, MaxForgotten: 4}
			for _, record := range restored {
				assert.NilError(t, s.Restore(record))
			}
		}
		assert.NilError(t, s.Put([]*dhpb.Bill{bill("a", 1, 1), bill("b", 2, 1), bill("d", 2, 1)}))
		bills, next := s.List(end, 10)
		assert.Equal(t, len(bills), 1, "cursor %d", end)
		assert.Equal(t, bills[0].GetRequestId(), "d")
		assert.Assert(t, next > end)
		assert.NilError(t, s.Forget([]string{"d", "e"}))
		n, remembered := s.Len()
		assert.Equal(t, n, 0)
		assert.Equal(t, remembered, 4)
	}
	torn, err := proto.Marshal(&dhpb.BillRecord{Format: 1, Forgotten: [][]byte{{1}}})
	assert.NilError(t, err)
	assert.Equal(t, codeOf(store.Restore(torn)), "disk-corrupt")
}

// Guards against a safe bill that is missing from a complete export, under random
// partitions, hand-overs and restarts of up to 2 holders of each bill. In the
// second half, an injected fault makes a VM hold bills alone; the test must
// detect the lost bills.
func TestLedgerSchedules(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		caught, complete := 0, 0
		for seed := range uint64(200) {
			missing, isComplete := runLedgerSchedule(t, seed, faulty)
			if !faulty {
				assert.Equal(t, len(missing), 0, "seed %d: %v", seed, missing)
			}
			if len(missing) > 0 {
				caught++
			}
			if isComplete {
				complete++
			}
		}
		t.Logf("faulty %v: %d of 200 seeds lose a bill, %d end with a complete export", faulty, caught, complete)
		assert.Equal(t, caught > 0, faulty)
		assert.Equal(t, complete, 200)
	}
}

func runLedgerSchedule(t *testing.T, seed uint64, faulty bool) (missing []string, complete bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, 7, 3)
	safe, restarts := make(map[string]bool), 0
	const maxRestarts = dhledger.Holders - 1
	for step := range 30 {
		switch rng.IntN(6) {
		case 0:
			sides := make([]int, 7)
			for i := range sides {
				sides[i] = rng.IntN(2)
			}
			c.partition(sides...)
		case 1:
			_, _ = c.vms[rng.IntN(7)].HandOver(t.Context())
		case 2:
			if restarts < maxRestarts {
				c.start(t, rng.IntN(7))
				restarts++
			}
		default:
			id := fmt.Sprintf("%d of seed %d", step, seed)
			i := rng.IntN(7)
			if faulty {
				c.vms[i].Reachable = func() []dhledger.Peer { return nil }
			}
			// On a side of fewer than 3 VMs, a restart may lose a bill.
			if restarts < maxRestarts && !c.largeSides() {
				continue
			}
			assert.NilError(t, c.put(t, i, bill(id, 1, step)), "seed %d", seed)
			safe[id] = true
		}
	}
	c.partition(make([]int, 7)...)
	assert.Equal(t, c.handOver(t), 0, "seed %d", seed)
	bills, page := c.export(t, rng.IntN(7), 5)
	for id := range safe {
		if bills[id] == nil {
			missing = append(missing, id)
		}
	}
	return missing, page.Complete
}

// largeSides reports whether each side of the partition has at least 3 VMs or
// none.
func (c *cluster) largeSides() bool {
	n := 0
	for _, s := range c.side {
		n += s
	}
	return n == 0 || n == 7 || n >= 3 && n <= 4
}
