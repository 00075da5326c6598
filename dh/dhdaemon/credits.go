package dhdaemon

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcold"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtimer"
)

// borrowTimeout bounds a call that borrows credits from another entry VM.
const borrowTimeout = 200 * time.Millisecond

// newCredits returns the cold-start credits of this VM.
func (d *Daemon) newCredits() *dhcold.Credits {
	peers := d.Settings.Peers
	return &dhcold.Credits{
		Timers: d.Timers, Zone: d.Settings.Zone, Slot: peers.ZoneSlot, Slots: peers.ZoneSlots,
		MaxBackends: d.Settings.Limits.Backends, Peers: zonePeers{d},
	}
}

// updateCredits passes the announced backend servers to the credits on each tick.
func (d *Daemon) updateCredits(_ time.Time, s *dhrouter.Snapshot) {
	d.credits.Update(s.Backends.All())
}

// refillCredits borrows credits from the zone's other entry VMs on each tick
// until ctx ends.
func (d *Daemon) refillCredits(ctx context.Context) error {
	for dhtimer.Sleep(ctx, d.Timers, d.Settings.Timing.Tick.Std()) == nil {
		d.credits.Refill(ctx)
	}
	return nil
}

// zonePeers borrows credits from the other entry VMs of the zone and lends to them.
type zonePeers struct{ daemon *Daemon }

// Names implements dhcold.Peers.
func (z zonePeers) Names() []string {
	view := z.daemon.members.View()
	var names []string
	for _, m := range view.InZone(z.daemon.Settings.Zone) {
		if m.Name != view.Self.Name && m.State == dhmember.Alive {
			names = append(names, m.Name)
		}
	}
	z.daemon.random.shuffle(names)
	return names
}

// Borrow implements dhcold.Peers.
func (z zonePeers) Borrow(ctx context.Context, peer, backend string, want int) (n int, lease time.Duration, err error) {
	view := z.daemon.members.View()
	m, ok := view.Get(peer)
	if !ok {
		return 0, 0, nil
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, z.daemon.Timers, borrowTimeout)
	defer cancel()
	out, err := z.daemon.Peers.LendCredit(ctx, m.Address, &dhpb.LendCreditRequest{
		Backend: backend, Borrower: fmt.Sprintf("%s.%d", view.Self.Name, z.daemon.incarnation), Credits: int32(want),
	})
	return int(out.GetCredits()), out.GetLease().AsDuration(), err
}

// Lend implements dhserver.CreditLender.
func (z zonePeers) Lend(_ context.Context, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error) {
	n, lease := z.daemon.credits.Lend(m.GetBackend(), m.GetBorrower(), int(m.GetCredits()))
	return &dhpb.LendCreditResponse{Credits: int32(n), Lease: durationpb.New(lease)}, nil
}
