package dhdaemon

import (
	"context"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
)

// limitPeers borrows unused limits of client accounts from other entry VMs and
// lends to them.
type limitPeers struct{ daemon *Daemon }

// Borrow implements dhlimit.Peers. It asks one other entry VM, chosen
// at random.
func (l limitPeers) Borrow(ctx context.Context, account string, want dhlimit.Loan) (dhlimit.Loan, error) {
	view := l.daemon.members.View()
	var names []string
	for _, m := range view.Alive() {
		if m.Name != view.Self.Name && m.State == dhmember.Alive {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return dhlimit.Loan{}, nil
	}
	l.daemon.random.shuffle(names)
	peer, _ := view.Get(names[0])
	out, err := l.daemon.Peers.LendLimit(ctx, peer.Address, &dhpb.LendLimitRequest{
		Account: account, Tokens: int32(want.Tokens), Slots: int32(want.Slots),
	})
	if err != nil {
		return dhlimit.Loan{}, err
	}
	return dhlimit.Loan{Tokens: int(out.GetTokens()), Slots: int(out.GetSlots()), Lease: out.GetLease().AsDuration()}, nil
}

// LendLimit implements dhserver.LimitLender.
func (l limitPeers) LendLimit(m *dhpb.LendLimitRequest) *dhpb.LendLimitResponse {
	tables := l.daemon.router.Snapshot().Tables
	if tables == nil {
		return &dhpb.LendLimitResponse{}
	}
	account, ok := tables.Accounts[m.GetAccount()]
	if !ok {
		return &dhpb.LendLimitResponse{}
	}
	lent := l.daemon.limiter.Lend(account, dhlimit.Loan{Tokens: int(m.GetTokens()), Slots: int(m.GetSlots())})
	return &dhpb.LendLimitResponse{
		Tokens: int32(lent.Tokens), Slots: int32(lent.Slots), Lease: durationpb.New(lent.Lease),
	}
}
