package dhsetting

import (
	"net/netip"
	"reflect"

	"dandelionhoist.example/dh/dhjson"
)

func check(doc dhjson.Document, s Settings) error {
	if s.Format != Format {
		return doc.Errorf("/format", "format %d is not supported; expected %d", s.Format, Format)
	}
	for _, f := range []struct{ pointer, value string }{
		{"/name", s.Name},
		{"/zone", s.Zone},
		{"/region", s.Region},
		{"/keys/peer-file", s.Keys.PeerFile},
		{"/keys/operator-file", s.Keys.OperatorFile},
		{"/keys/session-file", s.Keys.SessionFile},
	} {
		if f.value == "" {
			return doc.Errorf(f.pointer, "expected a value that is not empty")
		}
	}
	if err := checkAddresses(doc, s); err != nil {
		return err
	}
	if err := checkPositive(doc, "/timing", reflect.ValueOf(s.Timing)); err != nil {
		return err
	}
	if err := checkPositive(doc, "/limits", reflect.ValueOf(s.Limits)); err != nil {
		return err
	}
	return checkCombinations(doc, s)
}

func checkAddresses(doc dhjson.Document, s Settings) error {
	addresses := []struct{ pointer, value string }{
		{"/listen/callers", s.Listen.Callers},
		{"/listen/operators", s.Listen.Operators},
		{"/listen/peers", s.Listen.Peers},
	}
	for _, seed := range s.Peers.Seeds {
		addresses = append(addresses, struct{ pointer, value string }{"/peers/seeds", seed})
	}
	if s.Rating.Address != "" {
		addresses = append(addresses, struct{ pointer, value string }{"/rating/address", s.Rating.Address})
	}
	for _, v := range s.State.Voters {
		addresses = append(addresses, struct{ pointer, value string }{"/state/voters", v.Address})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return doc.Errorf(a.pointer, "%q is not an IP address and port such as \"10.1.0.4:8080\"", a.value)
		}
	}
	if addr := netip.MustParseAddrPort(s.Listen.Peers).Addr(); addr.IsUnspecified() {
		return doc.Errorf("/listen/peers", "other VMs are told this address; %q names no VM", s.Listen.Peers)
	}
	return nil
}

// checkPositive returns an error for the first field of the struct v that is
// zero or negative. All fields of v must be integers; pointer is the JSON
// pointer of v.
func checkPositive(doc dhjson.Document, pointer string, v reflect.Value) error {
	for i := range v.NumField() {
		if v.Field(i).Int() <= 0 {
			return doc.Errorf(pointer+"/"+v.Type().Field(i).Tag.Get("json"), "expected a value above zero")
		}
	}
	return nil
}

func checkCombinations(doc dhjson.Document, s Settings) error {
	if (s.Listen.CertFile == "") != (s.Listen.KeyFile == "") {
		return doc.Errorf("/listen", "cert-file and key-file must be given together")
	}
	if s.Peers.ZoneSlots < 1 || s.Peers.ZoneSlot < 0 || s.Peers.ZoneSlot >= s.Peers.ZoneSlots {
		return doc.Errorf("/peers/zone-slot", "zone-slot %d is not between 0 and zone-slots-1 (%d)", s.Peers.ZoneSlot, s.Peers.ZoneSlots-1)
	}
	if s.Peers.EntryVMs < s.Peers.ZoneSlots {
		return doc.Errorf("/peers/entry-vms", "entry-vms %d is less than zone-slots %d", s.Peers.EntryVMs, s.Peers.ZoneSlots)
	}
	if n := len(s.State.Voters); n != 1 && n != 3 && n != 5 {
		return doc.Errorf("/state/voters", "expected 1, 3 or 5 voters, found %d", n)
	}
	if s.IsVoter() && s.State.Folder == "" {
		return doc.Errorf("/state/folder", "voter %q needs a folder for its state", s.Name)
	}
	if s.Rating.PerSecond <= 0 || s.Rating.Inline <= 0 {
		return doc.Errorf("/rating", "per-second and inline must be above zero")
	}
	if s.Timing.BackendLease < 2*s.Timing.Tick {
		return doc.Errorf("/timing/backend-lease", "must be at least two ticks")
	}
	return nil
}
