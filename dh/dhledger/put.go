package dhledger

import (
	"cmp"
	"context"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// put is one call of Put.
type put struct {
	ledger *Ledger
	bill   *dhpb.Bill
	// synced and holding are names of VMs that have the bill on disk or in memory.
	synced, holding map[string]bool
}

// toVoters sends the bill to the voters that do not have it and reports
// whether a majority has synced it.
func (p *put) toVoters(ctx context.Context) bool {
	sets := p.ledger.Voters()
	var list []Peer
	for _, peer := range distinct(sets) {
		if !p.synced[peer.Name] {
			list = append(list, peer)
		}
	}
	p.send(ctx, list, false, func() bool { return majority(sets, p.synced) })
	return majority(sets, p.synced)
}

// toHolders reports whether enough VMs of this side hold the bill. A voter that
// has synced it does not count: only holders hand over to the other voters.
func (p *put) toHolders(ctx context.Context) bool {
	others := p.ledger.Reachable()
	need := min(Holders, 1+len(others))
	if err := p.ledger.hold([]*dhpb.Bill{p.bill}); err == nil {
		p.holding[p.ledger.Name] = true
	}
	enough := func() bool { return len(p.holding) >= need }
	for len(others) > 0 && !enough() && ctx.Err() == nil {
		n := min(len(others), max(1, need-len(p.holding)))
		var list []Peer
		for _, peer := range others[:n] {
			if !p.holding[peer.Name] {
				list = append(list, peer)
			}
		}
		others = others[n:]
		p.send(ctx, list, true, enough)
	}
	return enough()
}

// send queues the bill for peers and collects answers until done, until all
// have answered, or until the timeout.
func (p *put) send(ctx context.Context, peers []Peer, hold bool, done func() bool) {
	if len(peers) == 0 {
		return
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, p.ledger.Timers, cmp.Or(p.ledger.VoterTimeout, VoterTimeout))
	defer cancel()
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		p.ledger.queue(peer, hold, item{bill: p.bill, answers: answers})
	}
	for range peers {
		select {
		case a := <-answers:
			if a.ok && hold {
				p.holding[a.name] = true
			} else if a.ok {
				p.synced[a.name] = true
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

// item is a bill that waits for a message. Answers has room for every item
// that is sent with it.
type item struct {
	bill    *dhpb.Bill
	answers chan<- answer
}

type laneKey struct {
	name string
	hold bool
}

// lane sends the bills that wait for one VM, one message at a time. It is in
// the ledger's table while it has work.
type lane struct {
	key    laneKey
	client Client
	items  []item
}

func (l *Ledger) queue(peer Peer, hold bool, i item) {
	key := laneKey{peer.Name, hold}
	l.mu.Lock()
	defer l.mu.Unlock()
	if busy, ok := l.lanes[key]; ok {
		if len(busy.items) >= l.maxWaiting() {
			i.answers <- answer{name: peer.Name}
			return
		}
		busy.items = append(busy.items, i)
		return
	}
	if l.lanes == nil {
		l.lanes = make(map[laneKey]*lane)
	}
	added := &lane{key: key, client: peer.Client, items: []item{i}}
	l.lanes[key] = added
	l.Group.Go(func(ctx context.Context) error {
		for batch := l.next(added); len(batch) > 0; batch = l.next(added) {
			l.sendBatch(ctx, added, batch)
		}
		return nil
	})
}

// next takes the items of the next message, and removes the lane when there are none.
func (l *Ledger) next(from *lane) []item {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(from.items), MaxBatch)
	if n == 0 {
		delete(l.lanes, from.key)
		return nil
	}
	batch := from.items[:n:n]
	from.items = from.items[n:]
	return batch
}

func (l *Ledger) sendBatch(ctx context.Context, to *lane, batch []item) {
	r := &dhpb.PutBillsRequest{Hold: to.key.hold, Bills: make([]*dhpb.Bill, len(batch))}
	for i := range batch {
		r.Bills[i] = batch[i].bill
	}
	ok := l.deliver(ctx, to.client, r) == nil
	for i := range batch {
		batch[i].answers <- answer{name: to.key.name, ok: ok}
	}
}

// deliver returns nil when a VM has synced the bills, or holds them where that was asked.
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
