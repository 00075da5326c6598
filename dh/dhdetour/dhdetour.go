// Package dhdetour lets an entry VM that has lost its paths to backend servers reach them
// through other entry VMs, while its callers and the other VMs still reach it.
//
// Only the path is taken through another VM: the VM that a caller has chosen routes the
// request, counts it against limits, budgets and shares, and knows what became of it. The
// other VM, the relay, carries bytes between two connections and decides nothing, so that
// "not run" stays true: nothing has been sent before the relay has connected.
//
//   - Paths connects to backend servers. A connection that cannot be established directly
//     is established through a relay; if this succeeds, the backend server is alive and the
//     path to it is not. Later connections take the detour at once, and probes find out
//     when the direct path is back.
//   - Relay serves the detours of other VMs. It connects directly only, so there are no
//     loops, only to backend servers that it knows, and only for VMs that have its token,
//     which control VMs pass on.
//
// What a relay sends towards the VM is framed, and its end is marked: an answer without a
// length ends with its connection, and the end of a relay must not complete it. The mark is
// sent only if the backend server has received all that the VM sent, and has not reset the
// connection.
//
// # Usage
//
//	paths := &dhdetour.Paths{Timers: timers, Direct: dial, Through: dhdetour.Through(dial), ...}
//	paths.SetRelays(relays)                       // from the control VMs
//	conn, err := paths.Dial(ctx, "10.1.64.30:8400")
//
//	relay := &dhdetour.Relay{Direct: dial, Known: known, Token: token, ...}
//	http.Serve(listener, relay)
package dhdetour

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// suspectWindow is the time within which connections to several backend servers must
	// fail until a detour is tried for one that is refused: a single one has usually ended.
	suspectWindow = time.Second
	// cutOffCount is the number of backend servers that must be alive without a direct
	// path until the VM counts as cut off and takes the detour to all of them.
	cutOffCount = 2
	// probeInterval is the time between two direct connections that find out whether a
	// path is back.
	probeInterval = 500 * time.Millisecond
	// brokenFor is how long a path that nobody uses any more counts as broken, and
	// maxBroken bounds these paths.
	brokenFor = 30 * time.Second
	maxBroken = 10_000
	// maxRelayTries is the number of relays that are tried for one connection.
	maxRelayTries = 3
	// maxUnreachable is the number of relays that must fail to reach a backend server until
	// it counts as down.
	maxUnreachable = 2
	// relayTimeout bounds the time to connect through one relay.
	relayTimeout = 600 * time.Millisecond
	// relaysFreshFor is how long a list of relays is used before a new one is asked for,
	// relaysFreshCut the same while this VM is cut off or knows no relay.
	relaysFreshFor = 10 * time.Second
	relaysFreshCut = time.Second
)

// RelayVM is an entry VM that serves detours.
type RelayVM struct {
	VM, Zone, Address string
	Token             []byte
}

// Paths connects to backend servers, directly or through relays. Its exported fields are
// set before use. It is safe for use by several goroutines.
type Paths struct {
	Timers  dhtimer.Service
	Group   *dhgroup.Group
	Log     *slog.Logger
	Metrics *dhmetric.Metrics
	// VM and Zone are those of this VM. Relays in its zone are preferred.
	VM, Zone string
	// SameRegion reports whether a zone is in this VM's region: relays elsewhere are not
	// used. nil means that all are.
	SameRegion func(zone string) bool
	// Direct connects to an address. Through connects to an address through a relay.
	Direct  func(ctx context.Context, address string) (net.Conn, error)
	Through func(ctx context.Context, relay RelayVM, address string) (net.Conn, error)
	// Random returns a number in [0, 1).
	Random func() float64

	mu     sync.Mutex
	relays []RelayVM
	// relaysAt is when the relays were last set.
	relaysAt time.Time
	// broken holds when a path to an alive backend server was last found or used as broken.
	broken map[string]time.Time
	// failed holds when connections last failed, by address, since one was established.
	failed map[string]time.Time
	// cutOff is set while no backend server is reached directly; lastBroken is when a path
	// was last found broken.
	cutOff     bool
	lastBroken time.Time
	probing    bool
}

// Dial connects to a backend server. An error means that nothing was sent to it.
func (p *Paths) Dial(ctx context.Context, address string) (net.Conn, error) {
	if p.detours(address) {
		if conn, err := p.relayed(ctx, address); err == nil {
			return conn, nil
		}
		return p.direct(ctx, address) // the path may be back, and no relay is
	}
	conn, err := p.direct(ctx, address)
	if err == nil || ctx.Err() != nil || !p.suspicious(address, err) {
		return conn, err
	}
	relayed, relayErr := p.relayed(ctx, address)
	if relayErr != nil {
		return nil, err
	}
	p.markBroken(address, err)
	return relayed, nil
}

func (p *Paths) direct(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.Direct(ctx, address)
	if err == nil {
		p.markReached(address)
	}
	return conn, err
}

// detours reports whether connections to an address begin with a relay.
func (p *Paths) detours(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.relays) == 0 {
		return false
	}
	at, broken := p.broken[address]
	if !broken && !p.cutOff {
		return false
	}
	if now := p.Timers.Now(); broken && now.Sub(at) > probeInterval {
		p.broken[address] = now // it is still in use
	}
	return true
}

// suspicious reports whether a failed connection may be due to the path. One that hangs
// may; one that is refused may if those to other backend servers fail as well.
func (p *Paths) suspicious(address string, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = make(map[string]time.Time)
	}
	if len(p.failed) < maxBroken {
		p.failed[address] = p.Timers.Now()
	}
	var timeout net.Error
	return (errors.As(err, &timeout) && timeout.Timeout()) || p.recentFailures() >= cutOffCount
}

// recentFailures returns the number of backend servers to which connections failed within
// suspectWindow, with none established since. The caller holds the lock.
func (p *Paths) recentFailures() int {
	now := p.Timers.Now()
	for address, at := range p.failed {
		if now.Sub(at) > suspectWindow {
			delete(p.failed, address)
		}
	}
	return len(p.failed)
}

// Reaches reports whether this VM can carry connections of others: it is not cut off, and
// its own connections do not all fail.
func (p *Paths) Reaches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cutOff && p.recentFailures() < cutOffCount
}

// relayed connects through a relay.
func (p *Paths) relayed(ctx context.Context, address string) (net.Conn, error) {
	err, unreachable := errNoRelay, 0
	for _, relay := range p.chooseRelays() {
		var conn net.Conn
		limited, cancel := dhtimer.WithTimeout(ctx, p.Timers, relayTimeout)
		conn, err = p.Through(limited, relay, address)
		cancel()
		if err == nil {
			p.Metrics.Count("detour", "connected")
			return conn, nil
		}
		p.Metrics.Count("detour", "failed")
		if errors.Is(err, ErrUnreachable) {
			unreachable++
		}
		if ctx.Err() != nil || unreachable >= maxUnreachable {
			break
		}
	}
	return nil, err
}

// errNoRelay reports that this VM knows no relay.
var errNoRelay = errors.New("no relay is known")

// chooseRelays returns the relays to try, in random order: one in this VM's zone, then one
// elsewhere, as all VMs of the zone may be cut off.
func (p *Paths) chooseRelays() []RelayVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, far := make([]RelayVM, 0, len(p.relays)), make([]RelayVM, 0, len(p.relays))
	for _, r := range p.relays {
		if r.Zone == p.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	p.shuffle(near)
	p.shuffle(far)
	var list []RelayVM
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			list = append(list, near[i])
		}
		if i < len(far) {
			list = append(list, far[i])
		}
	}
	return list[:min(len(list), maxRelayTries)]
}

func (p *Paths) shuffle(list []RelayVM) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(p.Random() * float64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// markBroken records that a backend server is alive and the path to it is broken.
func (p *Paths) markBroken(address string, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timers.Now()
	if p.broken == nil {
		p.broken = make(map[string]time.Time)
	}
	if len(p.broken) < maxBroken {
		p.broken[address] = now
	}
	p.lastBroken = now
	if !p.cutOff && len(p.broken) >= cutOffCount {
		p.cutOff = true
		p.Metrics.Count("detour", "cut-off")
		p.Log.Warn("cut off from backend servers", slog.Int("broken-paths", len(p.broken)), slog.Int("relays", len(p.relays)),
			slog.String("backend", address), slog.String("error", cause.Error()))
	}
	if !p.probing {
		p.probing = true
		p.Group.Go(p.probe)
	}
}

// markReached records that a backend server is reached directly.
func (p *Paths) markReached(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.failed)
	if p.cutOff {
		// The other paths are tried again too; those that are still broken cost one
		// attempt each.
		p.cutOff = false
		clear(p.broken)
		p.Log.Info("backend servers reached directly again", slog.String("backend", address))
		return
	}
	delete(p.broken, address)
}

// probe tries broken paths in turn until none is left.
func (p *Paths) probe(ctx context.Context) error {
	for dhtimer.Sleep(ctx, p.Timers, probeInterval) == nil {
		address, ok := p.nextProbe()
		if !ok {
			return nil
		}
		if conn, err := p.direct(ctx, address); err == nil {
			_ = conn.Close() // it has shown that the path is back
		}
	}
	return nil
}

// nextProbe returns a random broken path, and removes those that nobody uses any more.
func (p *Paths) nextProbe() (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Timers.Now()
	for a, at := range p.broken {
		if now.Sub(at) > brokenFor {
			delete(p.broken, a)
		} else {
			address, ok = a, true
		}
	}
	if !ok {
		p.probing, p.cutOff = false, false
	}
	return address, ok
}

// SetRelays replaces the relays that this VM may use.
func (p *Paths) SetRelays(list []RelayVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays, p.relaysAt = p.relays[:0:0], p.Timers.Now()
	for _, r := range list {
		if r.VM != p.VM && (p.SameRegion == nil || p.SameRegion(r.Zone)) {
			p.relays = append(p.relays, r)
		}
	}
}

// WantsRelays reports whether this VM needs a new list of relays.
func (p *Paths) WantsRelays() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := relaysFreshFor
	if p.cutOff || len(p.relays) == 0 {
		fresh = relaysFreshCut
	}
	return p.relaysAt.IsZero() || p.Timers.Now().Sub(p.relaysAt) >= fresh
}

// BrokenSince reports whether a path to an alive backend server has been broken since a
// time, so that broken connections are no evidence against backend servers.
func (p *Paths) BrokenSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff || p.lastBroken.After(at)
}
