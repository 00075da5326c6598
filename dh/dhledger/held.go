package dhledger

import (
	"context"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
)

// PutBills implements the peer service: it holds bills, or syncs them when
// this VM has a voter. Code bill-not-safe: they are not kept.
func (l *Ledger) PutBills(_ context.Context, r *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	if len(r.GetBills()) > MaxBatch {
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "%d bills in one message, at most %d are accepted", len(r.GetBills()), MaxBatch)
	}
	for _, bill := range r.GetBills() {
		if err := checkBill(bill); err != nil {
			return nil, err
		}
	}
	if r.GetHold() {
		if err := l.hold(r.GetBills()); err != nil {
			return nil, err
		}
		return &dhpb.PutBillsResponse{Held: true}, nil
	}
	if l.Store == nil {
		return nil, dhcode.Errorf(dhcode.BillNotSafe, "VM %q has no voter", l.Name)
	}
	if len(r.GetForget()) > 0 {
		return &dhpb.PutBillsResponse{Synced: true}, l.Store.Forget(r.GetForget())
	}
	if err := l.Store.Put(r.GetBills()); err != nil {
		return nil, err
	}
	return &dhpb.PutBillsResponse{Synced: true}, nil
}

// ListBills implements the peer service: the bills of this VM's voter. The
// answer is complete when this VM holds no bills for a hand-over.
func (l *Ledger) ListBills(_ context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	answer := &dhpb.ExportBillsResponse{Next: r.GetAfter()}
	if l.Store != nil {
		answer.Bills, answer.Next = l.Store.List(r.GetAfter(), int(r.GetLimit()))
	}
	answer.Complete = l.Held() == 0
	return answer, nil
}

// Held returns the number of bills that this VM holds for a hand-over.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// hold keeps bills in memory, all or none of them.
func (l *Ledger) hold(bills []*dhpb.Bill) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := 0
	for _, bill := range bills {
		if _, ok := l.held[bill.GetRequestId()]; !ok {
			added++
		}
	}
	if len(l.held)+added > l.maxHeld() {
		return dhcode.Errorf(dhcode.BillNotSafe, "%d bills are held, at most %d are", len(l.held), l.maxHeld())
	}
	if l.held == nil {
		l.held = make(map[string]*dhpb.Bill)
	}
	for _, bill := range bills {
		l.held[bill.GetRequestId()] = Merge(l.held[bill.GetRequestId()], bill)
	}
	return nil
}

// HandOver sends held bills to the voters and forgets those that a majority
// has synced. It returns how many are left. It is called on a tick; a call
// while another one runs does nothing.
func (l *Ledger) HandOver(ctx context.Context) (left int, err error) {
	l.mu.Lock()
	if l.handing || len(l.held) == 0 {
		defer l.mu.Unlock()
		return len(l.held), nil
	}
	l.handing = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.handing, left = false, len(l.held)
	}()
	for batch := range slices.Chunk(l.heldBills(), MaxBatch) {
		if err := l.handOver(ctx, batch); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

func (l *Ledger) heldBills() []*dhpb.Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	bills := make([]*dhpb.Bill, 0, len(l.held))
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		bills = append(bills, l.held[id])
	}
	return bills
}

func (l *Ledger) handOver(ctx context.Context, batch []*dhpb.Bill) error {
	sets := l.Voters()
	voters := distinct(sets)
	errs := make([]error, len(voters))
	group := dhgroup.New(ctx)
	for i, v := range voters {
		group.Go(func(ctx context.Context) error {
			errs[i] = l.deliver(ctx, v.Client, &dhpb.PutBillsRequest{Bills: batch})
			return nil
		})
	}
	_ = group.Wait()
	synced := make(map[string]bool)
	for i, v := range voters {
		synced[v.Name] = errs[i] == nil
	}
	if !majority(sets, synced) {
		return dhcode.Errorf(dhcode.BillNotSafe, "no majority of %d voters took %d held bills", len(voters), len(batch))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, bill := range batch {
		// A better bill of the same request may have come meanwhile.
		if proto.Equal(l.held[bill.GetRequestId()], bill) {
			delete(l.held, bill.GetRequestId())
		}
	}
	return nil
}
