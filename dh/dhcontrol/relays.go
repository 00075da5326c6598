package dhcontrol

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhpb"
)

const (
	// maxRelays is the number of relays in a response.
	maxRelays = 8
	// relayTTL is how long after its last report an entry VM is given as a relay.
	relayTTL = time.Second
)

// relayOf returns the relay that an entry VM reports, or nil.
func relayOf(m *dhpb.ControlWatchRequest) *dhpb.Relay {
	r := m.GetReport().GetRelay()
	if r.GetAddress() == "" {
		return nil
	}
	return &dhpb.Relay{Vm: m.GetVm(), Zone: m.GetZone(), Address: r.GetAddress(), Token: r.GetToken()}
}

// directRelays returns some of the entry VMs that watch this VM and carry connections of
// others. The choice changes with time.
func (e *entries) directRelays() []*dhpb.Relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	return chooseRelays(e.ownRelays(), "", "", e.timers.Now())
}

// relaysFor returns some relays for an entry VM of a zone, those of the zone first. VMs are
// given different ones, so that they do not all use the same.
func (e *entries) relaysFor(vm, zone string) []*dhpb.Relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	list := e.ownRelays()
	for _, r := range e.remote {
		if now.Sub(r.lastHeard) <= relayTTL {
			list = append(list, r.relays...)
		}
	}
	return chooseRelays(list, vm, zone, now)
}

func (e *entries) ownRelays() []*dhpb.Relay {
	now := e.timers.Now()
	var list []*dhpb.Relay
	for _, d := range e.direct {
		if d.relay != nil && now.Sub(d.lastHeard) <= relayTTL {
			list = append(list, d.relay)
		}
	}
	return list
}

// chooseRelays returns up to maxRelays of a list in an order that depends on the VM and the
// time, those of a zone first but only so many that others remain.
func chooseRelays(list []*dhpb.Relay, vm, zone string, now time.Time) []*dhpb.Relay {
	salt := vm + "\x00" + strconv.FormatInt(now.Unix(), 10) + "\x00"
	rank := func(r *dhpb.Relay) uint64 { return xxhash.Sum64String(salt + r.GetVm()) }
	slices.SortFunc(list, func(a, b *dhpb.Relay) int { return cmp.Compare(rank(a), rank(b)) })
	near, far := make([]*dhpb.Relay, 0, len(list)), make([]*dhpb.Relay, 0, len(list))
	for _, r := range list {
		switch {
		case r.GetVm() == vm:
		case r.GetZone() == zone && len(near) < maxRelays/2:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), maxRelays)]
}
