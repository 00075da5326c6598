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

// PutBills implements the peer service. It holds bills in memory if the request
// asks for that, and otherwise stores or removes them on the local voter. Code
// bill-not-safe means that the bills are not kept.
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

// ListBills implements the peer service. It lists the bills of the local voter,
// if there is one. The response is complete if this VM holds no bills that wait
// for a hand-over.
func (l *Ledger) ListBills(_ context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	answer := &dhpb.ExportBillsResponse{Next: r.GetAfter()}
	if l.Store != nil {
		answer.Bills, answer.Next = l.Store.List(r.GetAfter(), int(r.GetLimit()))
	}
	answer.Complete = l.Held() == 0
	return answer, nil
}

// Held returns the number of bills that this VM holds in memory until it hands
// them over.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// hold keeps bills in memory, either all of them or none.
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

// HandOver sends held bills to the voters and drops those that a majority has
// synced. It returns the number of bills that are still held. It must be called
// periodically; a call does nothing while another one is running.
func (l *Ledger) HandOver(ctx context.Context) (left int, err error) {
	l.mu.Lock()
	if l.handingOver || len(l.held) == 0 {
		defer l.mu.Unlock()
		return len(l.held), nil
	}
	l.handingOver = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.handingOver, left = false, len(l.held)
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
		// Keep a bill that replaced the sent one in a merge in the meantime.
		if proto.Equal(l.held[bill.GetRequestId()], bill) {
			delete(l.held, bill.GetRequestId())
		}
	}
	return nil
}
