package dhentry

import (
	"context"
	crand "crypto/rand"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"

	"dandelionhoist.example/dh/dhdetour"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhwatch"
)

// relayTokenBytes is the length of the token that VMs need to use this VM as a relay.
const relayTokenBytes = 16

// buildPaths creates the paths to backend servers, and the relay for other VMs.
func (e *Entry) buildPaths() {
	connect := e.Connect
	if connect == nil {
		connect = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	through := e.Through
	if through == nil {
		through = dhdetour.Through(connect)
	}
	e.paths = &dhdetour.Paths{
		Timers: e.Timers, Group: e.group, Log: e.Log, Metrics: e.Metrics, VM: e.Name, Zone: e.Zone, SameRegion: e.SameRegion,
		Direct: connect, Through: through, Random: rand.Float64,
	}
	token := make([]byte, relayTokenBytes)
	if _, err := crand.Read(token); err != nil {
		e.Log.Warn("no detours for other VMs", slog.String("error", err.Error()))
		return
	}
	e.relay = &dhdetour.Relay{
		Group: e.group, Log: e.Log, Metrics: e.Metrics, Direct: connect, Token: token,
		Known: func(address string) bool {
			return !e.leaving.Load() && e.router.Snapshot().Backends.HasAddress(address)
		},
	}
}

// Dial connects to a backend server, directly or through another VM. Call it after Build.
func (e *Entry) Dial(ctx context.Context, address string) (net.Conn, error) {
	return e.paths.Dial(ctx, address)
}

// RelayHandler serves the detours of other VMs at RelayAddress. Call it after Build.
func (e *Entry) RelayHandler() http.Handler { return e.relay }

// Tunnels returns the number of connections of other VMs that this VM carries. Call it
// after Build.
func (e *Entry) Tunnels() int {
	if e.relay == nil {
		return 0
	}
	return e.relay.Tunnels()
}

// relayReport returns this VM as a relay, or nil if it cannot carry connections of others.
func (e *Entry) relayReport() *dhpb.Relay {
	if e.RelayAddress == "" || e.relay == nil || e.leaving.Load() || !e.paths.Reaches() {
		return nil
	}
	return &dhpb.Relay{Address: e.RelayAddress, Token: e.relay.Token}
}

func (e *Entry) applyRelays(u dhwatch.Update) {
	if len(u.GetRelays()) == 0 {
		return
	}
	var list []dhdetour.RelayVM
	for _, r := range u.GetRelays() {
		list = append(list, dhdetour.RelayVM{VM: r.GetVm(), Zone: r.GetZone(), Address: r.GetAddress(), Token: r.GetToken()})
	}
	e.paths.SetRelays(list)
}
