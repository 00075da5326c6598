// Package dhsession runs whole deployments in tests: the daemons of several
// entry VMs, simulated backend servers, callers and operators on one stepped
// clock and one fake network, inside a synctest bubble. No program uses it.
//
// A World performs what a test asks for and keeps Facts: what callers,
// backend servers, operators and the ledger saw. Facts.Check compares them
// with the twelve invariants without looking into the daemons.
//
// # Usage
//
//	synctest.Test(t, func(*testing.T) {
//		w := dhsession.NewWorld(seed)
//		defer w.Close()
//		w.AddVM("mrc-a-1", "mrc-a", true)
//		w.AddEngine(&dhengine.Model{ID: "llm-1", Zone: "mrc-a", Pool: "atelier-llm", Versions: versions})
//		w.Start("mrc-a-1")
//		w.Step(3 * time.Second)
//		w.Edit("mrc-a-1", "e1", 0, tables, false)
//		w.Ask("mrc-a-1", dhsession.Request{ID: "r1", Account: "crew-east", ...}, false, nil)
//		w.Step(10 * time.Second)
//		faults := w.Facts.Check()
//	})
//
// Script runs a session that is written in a file.
package dhsession

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhdaemon"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// minDelay and maxDelay bound the one-way delay of a message.
	minDelay = 300 * time.Microsecond
	maxDelay = 900 * time.Microsecond
	// silentTime is when a connection over a partition is given up, as by the
	// keep-alive of the network clients.
	silentTime = 3 * time.Second
	// probePeriod is how often operators ask each VM for its revision.
	probePeriod = 250 * time.Millisecond
	// endTime is how often an ended daemon is asked for open calls, endLimit
	// when they are cut off.
	endTime  = 100 * time.Millisecond
	endLimit = time.Minute
)

// World is a deployment. Its methods are called by one goroutine, the one that
// steps the clock.
type World struct {
	Timers  *dhtimer.Stepped
	Network *dhfake.Network
	Facts   *Facts
	// Keys are the callers' keys by account; the default is the account's name.
	Keys map[string]string
	// Prepare changes a daemon between Build and Run, so that a test can break a rule.
	Prepare func(vm *VM, d *dhdaemon.Daemon)
	// Settings changes the settings of a VM before it starts.
	Settings func(s *dhsetting.Settings)

	seed    uint64
	group   *dhgroup.Group
	names   []string
	vms     map[string]*VM
	engines map[string]*Backend
	order   []string

	mu      sync.Mutex
	streams map[*stream]bool
	callers map[string]*caller
	tokens  map[string]string
	cutAt   time.Time
}

// VM is an entry VM over all its starts.
type VM struct {
	Name, Zone string
	// Disk is nil on a VM without one.
	Disk *dhdisk.Memory

	starts int
	run    *run
}

// run is one start of a VM.
type run struct {
	daemon    *dhdaemon.Daemon
	node      *dhfake.Node
	callers   *dhserver.Callers
	operators *dhserver.Operators
	peers     *dhserver.Peers
	cancel    context.CancelFunc
	stop      chan struct{}
	// down is closed when callers lose their connections.
	down     chan struct{}
	downOnce sync.Once
	stopping bool
	// open counts the callers' calls that are being served.
	open atomic.Int64
}

func (r *run) close() { r.downOnce.Do(func() { close(r.down) }) }

// up returns the current run, or nil while the VM is down.
func (v *VM) up() *run {
	if v.run == nil {
		return nil
	}
	select {
	case <-v.run.down:
		return nil
	default:
		return v.run
	}
}

// NewWorld returns a world without VMs and backend servers.
func NewWorld(seed uint64) *World {
	timers := dhtimer.NewStepped()
	w := &World{
		Timers: timers, Network: dhfake.NewNetwork(timers, seed), seed: seed, Facts: newFacts(timers),
		group: dhgroup.New(context.Background()), vms: make(map[string]*VM), engines: make(map[string]*Backend),
		streams: make(map[*stream]bool), callers: make(map[string]*caller), tokens: make(map[string]string),
	}
	w.Loss(0)
	timers.Subscribe(probePeriod, func(time.Time) { w.probe() })
	return w
}

// Close ends everything and waits for all goroutines.
func (w *World) Close() {
	for _, vm := range w.vms {
		if r := vm.run; r != nil {
			r.close()
			r.cancel()
		}
	}
	w.group.Stop()
	w.Network.Stop()
	w.Step(20 * time.Second)
	_ = w.group.Wait()
}

// Step moves time by d, event by event.
func (w *World) Step(d time.Duration) {
	end := w.Timers.Now().Add(d)
	w.Timers.After(d, func(time.Time) {})
	for synctest.Wait(); w.Timers.Now().Before(end); synctest.Wait() {
		w.Timers.Next()
	}
}

// Until steps until done returns true, and reports whether it did within limit.
func (w *World) Until(limit time.Duration, done func() bool) bool {
	end := w.Timers.Now().Add(limit)
	for synctest.Wait(); !done(); synctest.Wait() {
		if !w.Timers.Now().Before(end) {
			return false
		}
		w.Timers.Next()
	}
	return true
}

// AddVM adds an entry VM. The VMs with a disk that are added before the first
// start are the first voters.
func (w *World) AddVM(name, zone string, disk bool) {
	vm := &VM{Name: name, Zone: zone}
	if disk {
		vm.Disk = &dhdisk.Memory{}
		w.Facts.voters = append(w.Facts.voters, name)
	}
	w.vms[name] = vm
	w.names = append(w.names, name)
}

// settings returns the settings of a VM. Names serve as addresses.
func (w *World) settings(vm *VM) dhsetting.Settings {
	s := dhsetting.Default()
	s.Name, s.Zone, s.Region, s.Listen.Peers = vm.Name, vm.Zone, "region", vm.Name
	if vm.Disk != nil {
		s.State.Folder = "memory"
	}
	s.Peers.EntryVMs, s.Peers.ZoneSlots = len(w.names), 0
	seeded := make(map[string]bool)
	for _, name := range w.names {
		other := w.vms[name]
		if other.Zone == vm.Zone {
			if other == vm {
				s.Peers.ZoneSlot = s.Peers.ZoneSlots
			}
			s.Peers.ZoneSlots++
		}
		if !seeded[other.Zone] {
			seeded[other.Zone] = true
			s.Peers.Seeds = append(s.Peers.Seeds, name)
		}
		if other.Disk != nil {
			s.State.Voters = append(s.State.Voters, dhsetting.Voter{Address: name, Zone: other.Zone})
		}
	}
	if w.Settings != nil {
		w.Settings(&s)
	}
	return s
}

// Start starts a VM, or starts it again after Crash or Stop.
func (w *World) Start(name string) {
	vm := w.vms[name]
	vm.starts++
	r := &run{stop: make(chan struct{}), down: make(chan struct{})}
	ctx, cancel := context.WithCancel(w.group.Context())
	r.cancel = cancel
	ids := 0
	var mu sync.Mutex
	d := &dhdaemon.Daemon{
		Settings: w.settings(vm), Timers: w.Timers, Log: w.Facts.logger(name, r.down), NoListen: true,
		Keys: dhserver.Keys{Peer: [][]byte{[]byte("peer")}, Session: [][]byte{[]byte("session")}},
		NewID: func() string {
			mu.Lock()
			defer mu.Unlock()
			ids++
			return fmt.Sprintf("%s-%d-%d", name, vm.starts, ids)
		},
		Seed: w.hash(name, fmt.Sprint(vm.starts)) | 1,
	}
	if vm.Disk != nil {
		d.Disk = vm.Disk
	}
	r.node = w.Network.Start(name, func(ctx context.Context, _ string, message any) (any, error) {
		return serve(ctx, r.peers, message.(call))
	})
	d.Peers, d.Engine = &peers{world: w, node: r.node}, link{world: w, vm: name, run: r}
	r.daemon = d
	if err := d.Build(ctx); err != nil {
		w.Facts.note("vm %s does not start: %v", name, err)
		r.close()
		vm.run = r
		return
	}
	if w.Prepare != nil {
		w.Prepare(vm, d)
	}
	r.callers, r.operators, r.peers = d.Callers(), d.Operators(), d.PeerService()
	vm.run = r
	w.Facts.vm(name, vmStarted)
	w.Facts.note("vm %s started", name)
	w.group.Go(func(context.Context) error {
		err := d.Run(ctx, r.stop)
		w.ended(vm, r, err)
		return nil
	})
	synctest.Wait()
}

// ended notes that a daemon has ended by itself.
func (w *World) ended(vm *VM, r *run, err error) {
	select {
	case <-r.down:
		return
	default:
	}
	w.Facts.vm(vm.Name, vmEnded)
	w.Facts.note("vm %s ended: %v", vm.Name, err)
	w.closeIdle(r, w.Timers.Now().Add(endLimit))
}

// closeIdle ends a run once no call is open, as the network servers do, which
// the daemon runs without here.
func (w *World) closeIdle(r *run, limit time.Time) {
	w.Timers.After(endTime, func(now time.Time) {
		if r.open.Load() > 0 && now.Before(limit) {
			w.closeIdle(r, limit)
			return
		}
		r.close()
		r.node.Crash()
	})
}

// Crash ends a VM at once. Writes that are not synced are lost.
func (w *World) Crash(name string) {
	vm := w.vms[name]
	r := vm.up()
	if r == nil {
		return
	}
	w.Facts.vm(name, vmCrashed)
	w.Facts.note("vm %s crashed", name)
	r.node.Crash()
	r.close()
	synctest.Wait() // callers have lost their connections before anything else reacts
	if vm.Disk != nil {
		vm.Disk.Crash()
	}
	w.dropStreams(func(s *stream) bool { return s.link.run == r }, true)
	r.cancel()
	synctest.Wait()
}

// Wipe empties the disk of a VM that is down.
func (w *World) Wipe(name string) { w.vms[name].Disk.Restore(nil) }

// Stop starts the graceful shutdown of a VM.
func (w *World) Stop(name string) {
	r := w.vms[name].up()
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	w.Facts.vm(name, vmStopping)
	close(r.stop)
	synctest.Wait()
}

// Running reports whether a VM runs.
func (w *World) Running(name string) bool { return w.vms[name].up() != nil }

// Serving reports whether the balancer sends callers to a VM.
func (w *World) Serving(name string) bool {
	r := w.vms[name].up()
	return r != nil && !r.stopping && r.operators.Node.Ready()
}

// Loss sets the share of messages and answers between entry VMs that are lost.
func (w *World) Loss(share float64) {
	w.Network.Set(dhfake.Faults{Loss: share, MinDelay: minDelay, MaxDelay: maxDelay})
}

// Partition separates groups of zones from each other; zones that are not
// named form one more group. Without groups all are connected again.
func (w *World) Partition(groups ...[]string) {
	var sides [][]string
	for _, zones := range groups {
		var side []string
		for _, name := range w.names {
			if slices.Contains(zones, w.vms[name].Zone) {
				side = append(side, name)
			}
		}
		for _, id := range w.order {
			if slices.Contains(zones, w.engines[id].Zone) {
				side = append(side, id)
			}
		}
		sides = append(sides, side)
	}
	w.Isolate(sides...)
}

// Isolate separates groups of VMs and backend servers from each other.
func (w *World) Isolate(sides ...[]string) {
	w.Network.Partition(sides...)
	w.mu.Lock()
	w.cutAt = w.Timers.Now()
	w.mu.Unlock()
	w.Facts.partition(sides)
	w.Facts.note("partition %v", sides)
	broken := func(s *stream) bool { return !w.Network.Connected(s.link.vm, s.backend.ID) }
	cut := w.findStreams(broken)
	w.Timers.After(silentTime, func(time.Time) {
		for _, s := range cut {
			s.end(errBroken(s.backend.ID))
			synctest.Wait()
		}
	})
	for _, s := range cut {
		s.cutOff()
	}
}

// hash returns a number that follows from the seed and names.
func (w *World) hash(names ...string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(w.seed)
	for _, s := range names {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// delay returns the one-way delay of what the names identify.
func (w *World) delay(names ...string) time.Duration {
	return minDelay + time.Duration(w.hash(names...)%uint64(maxDelay-minDelay))
}

// separated returns for how long two nodes have been separated; 0 when they are not.
func (w *World) separated(a, b string) time.Duration {
	if w.Network.Connected(a, b) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.Timers.Now().Sub(w.cutAt), 1)
}
