package dhledger

import (
	"cmp"
	"context"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// putCall is the state of one call of Put.
type putCall struct {
	ledger *Ledger
	bill   *dhpb.Bill
	// syncedBy and heldBy are the names of the VMs that have the bill on disk and
	// in memory.
	syncedBy, heldBy map[string]bool
}

// syncOnVoters sends the bill to the voters that have not synced it yet, and
// reports whether a majority of each voter set has synced it.
func (p *putCall) syncOnVoters(ctx context.Context) bool {
	sets := p.ledger.Voters()
	var list []Peer
	for _, peer := range distinct(sets) {
		if !p.syncedBy[peer.Name] {
			list = append(list, peer)
		}
	}
	p.send(ctx, list, false, func() bool { return majority(sets, p.syncedBy) })
	return majority(sets, p.syncedBy)
}

// holdOnVMs asks reachable VMs to hold the bill in memory and reports whether
// enough of them do. A voter that has synced the bill does not count, because
// only holders hand it over to the other voters.
func (p *putCall) holdOnVMs(ctx context.Context) bool {
	others := p.ledger.Reachable()
	need := min(Holders, 1+len(others))
	if err := p.ledger.hold([]*dhpb.Bill{p.bill}); err == nil {
		p.heldBy[p.ledger.Name] = true
	}
	enough := func() bool { return len(p.heldBy) >= need }
	for len(others) > 0 && !enough() && ctx.Err() == nil {
		n := min(len(others), max(1, need-len(p.heldBy)))
		var list []Peer
		for _, peer := range others[:n] {
			if !p.heldBy[peer.Name] {
				list = append(list, peer)
			}
		}
		others = others[n:]
		p.send(ctx, list, true, enough)
	}
	return enough()
}

// send queues the bill for peers and collects their responses until done returns
// true, all peers have answered, or the timeout expires.
func (p *putCall) send(ctx context.Context, peers []Peer, hold bool, done func() bool) {
	if len(peers) == 0 {
		return
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, p.ledger.Timers, cmp.Or(p.ledger.VoterTimeout, VoterTimeout))
	defer cancel()
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		p.ledger.enqueue(peer, hold, queuedBill{bill: p.bill, answers: answers})
	}
	for range peers {
		select {
		case a := <-answers:
			if a.ok && hold {
				p.heldBy[a.name] = true
			} else if a.ok {
				p.syncedBy[a.name] = true
			}
			if done() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

type answer struct {
	name string
	ok   bool
}

// queuedBill is a bill that waits to be sent to one VM. The buffer of answers has
// room for the response of every peer, so that sending to it never blocks.
type queuedBill struct {
	bill    *dhpb.Bill
	answers chan<- answer
}

type sendQueueKey struct {
	name string
	hold bool
}

// sendQueue holds the bills that wait to be sent to one VM, one message at a
// time. It is in Ledger.sendQueues only while bills are queued or being sent.
type sendQueue struct {
	key    sendQueueKey
	client Client
	items  []queuedBill
}

func (l *Ledger) enqueue(peer Peer, hold bool, i queuedBill) {
	key := sendQueueKey{peer.Name, hold}
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing, ok := l.sendQueues[key]; ok {
		if len(existing.items) >= l.maxWaiting() {
			i.answers <- answer{name: peer.Name}
			return
		}
		existing.items = append(existing.items, i)
		return
	}
	if l.sendQueues == nil {
		l.sendQueues = make(map[sendQueueKey]*sendQueue)
	}
	created := &sendQueue{key: key, client: peer.Client, items: []queuedBill{i}}
	l.sendQueues[key] = created
	l.Group.Go(func(ctx context.Context) error {
		for batch := l.nextBatch(created); len(batch) > 0; batch = l.nextBatch(created) {
			l.sendBatch(ctx, created, batch)
		}
		return nil
	})
}

// nextBatch returns the bills of the next message. If there are none, it removes
// the send queue.
func (l *Ledger) nextBatch(from *sendQueue) []queuedBill {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(from.items), MaxBatch)
	if n == 0 {
		delete(l.sendQueues, from.key)
		return nil
	}
	batch := from.items[:n:n]
	from.items = from.items[n:]
	return batch
}

func (l *Ledger) sendBatch(ctx context.Context, to *sendQueue, batch []queuedBill) {
	r := &dhpb.PutBillsRequest{Hold: to.key.hold, Bills: make([]*dhpb.Bill, len(batch))}
	for i := range batch {
		r.Bills[i] = batch[i].bill
	}
	ok := l.deliver(ctx, to.client, r) == nil
	for i := range batch {
		batch[i].answers <- answer{name: to.key.name, ok: ok}
	}
}

// deliver sends one message and returns nil if the VM synced the bills, or holds
// them in memory if the request asks for that.
func (l *Ledger) deliver(ctx context.Context, client Client, r *dhpb.PutBillsRequest) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, l.Timers, cmp.Or(l.VoterTimeout, VoterTimeout))
	defer cancel()
	answer, err := client.PutBills(ctx, r)
	if err != nil {
		return err
	}
	if r.GetHold() && !answer.GetHeld() || !r.GetHold() && !answer.GetSynced() {
		return dhcode.Errorf(dhcode.BillNotSafe, "peer did not keep %d bills", len(r.GetBills()))
	}
	return nil
}
