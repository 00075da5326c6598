// Package dhsession simulates whole deployments in tests. The daemons of several
// entry VMs, simulated backend servers, callers and operators share one stepped
// clock and one fake network inside a synctest bubble. No program imports it.
//
// A Simulation performs the operations of a test and records a History of what
// callers, backend servers, operators and the ledger observed. History.Check
// verifies the history against the twelve invariants without inspecting the
// daemons' internal state.
//
// # Usage
//
//	synctest.Test(t, func(*testing.T) {
//		w := dhsession.NewSimulation(seed)
//		defer w.Close()
//		w.AddVM("mrc-a-1", "mrc-a", true)
//		w.AddEngine(&dhengine.Model{ID: "llm-1", Zone: "mrc-a", Pool: "atelier-llm", Versions: versions})
//		w.Start("mrc-a-1")
//		w.Step(3 * time.Second)
//		w.Edit("mrc-a-1", "e1", 0, tables, false)
//		w.Ask("mrc-a-1", dhsession.Request{ID: "r1", Account: "crew-east", ...}, false, nil)
//		w.Step(10 * time.Second)
//		faults := w.History.Check()
//	})
//
// A Script runs the commands of a session file.
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
	// connectionTimeout is the time after which a connection across a partition
	// breaks, as by the keep-alive of the real network clients.
	connectionTimeout = 3 * time.Second
	// probePeriod is the interval at which operators query the revision of each VM.
	probePeriod = 250 * time.Millisecond
	// closePollPeriod is the interval at which a daemon that has ended is checked
	// for open calls. They are cut off after closeLimit.
	closePollPeriod = 100 * time.Millisecond
	closeLimit      = time.Minute
)

// Simulation is a simulated deployment. Its methods must be called from the
// goroutine that steps the clock.
type Simulation struct {
	Timers  *dhtimer.Stepped
	Network *dhfake.Network
	History *History
	// Keys maps accounts to the keys of their callers. The default key is the
	// name of the account.
	Keys map[string]string
	// Prepare modifies a daemon between Build and Run, so that a test can make it
	// violate an invariant.
	Prepare func(vm *VM, d *dhdaemon.Daemon)
	// Settings modifies the settings of a VM before it starts.
	Settings func(s *dhsetting.Settings)

	seed      uint64
	group     *dhgroup.Group
	vmNames   []string
	vms       map[string]*VM
	engines   map[string]*Backend
	engineIDs []string

	mu            sync.Mutex
	streams       map[*stream]bool
	callers       map[string]*callerState
	tokens        map[string]string
	partitionedAt time.Time
}

// VM is an entry VM. It persists across restarts.
type VM struct {
	Name, Zone string
	// Disk is nil if the VM has no disk.
	Disk *dhdisk.Memory

	starts int
	run    *run
}

// run is the state of a VM from one start until it crashes or stops.
type run struct {
	daemon    *dhdaemon.Daemon
	node      *dhfake.Node
	callers   *dhserver.Callers
	operators *dhserver.Operators
	peers     *dhserver.Peers
	cancel    context.CancelFunc
	stop      chan struct{}
	// down is closed when the VM goes down and callers lose their connections.
	down     chan struct{}
	downOnce sync.Once
	stopping bool
	// openCalls is the number of caller requests in progress.
	openCalls atomic.Int64
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

// NewSimulation returns a simulation without VMs and backend servers.
func NewSimulation(seed uint64) *Simulation {
	timers := dhtimer.NewStepped()
	w := &Simulation{
		Timers: timers, Network: dhfake.NewNetwork(timers, seed), seed: seed, History: newHistory(timers),
		group: dhgroup.New(context.Background()), vms: make(map[string]*VM), engines: make(map[string]*Backend),
		streams: make(map[*stream]bool), callers: make(map[string]*callerState), tokens: make(map[string]string),
	}
	w.SetLoss(0)
	timers.Subscribe(probePeriod, func(time.Time) { w.probe() })
	return w
}

// Close stops all VMs and the network, and waits for all goroutines.
func (w *Simulation) Close() {
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

// Step advances the clock by d, one timer event at a time.
func (w *Simulation) Step(d time.Duration) {
	end := w.Timers.Now().Add(d)
	w.Timers.After(d, func(time.Time) {})
	for synctest.Wait(); w.Timers.Now().Before(end); synctest.Wait() {
		w.Timers.Next()
	}
}

// StepUntil steps the clock until done returns true. It returns false if that
// does not happen within limit.
func (w *Simulation) StepUntil(limit time.Duration, done func() bool) bool {
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
// Start are the initial voters.
func (w *Simulation) AddVM(name, zone string, disk bool) {
	vm := &VM{Name: name, Zone: zone}
	if disk {
		vm.Disk = &dhdisk.Memory{}
		w.History.voters = append(w.History.voters, name)
	}
	w.vms[name] = vm
	w.vmNames = append(w.vmNames, name)
}

// settings returns the settings of a VM. VM names are used as addresses.
func (w *Simulation) settings(vm *VM) dhsetting.Settings {
	s := dhsetting.Default()
	s.Name, s.Zone, s.Region, s.Listen.Peers = vm.Name, vm.Zone, "region", vm.Name
	if vm.Disk != nil {
		s.State.Folder = "memory"
	}
	s.Peers.EntryVMs, s.Peers.ZoneSlots = len(w.vmNames), 0
	seeded := make(map[string]bool)
	for _, name := range w.vmNames {
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

// Start starts a VM for the first time, or again after Crash or Stop.
func (w *Simulation) Start(name string) {
	vm := w.vms[name]
	vm.starts++
	r := &run{stop: make(chan struct{}), down: make(chan struct{})}
	ctx, cancel := context.WithCancel(w.group.Context())
	r.cancel = cancel
	ids := 0
	var mu sync.Mutex
	d := &dhdaemon.Daemon{
		Settings: w.settings(vm), Timers: w.Timers, Log: w.History.logger(name, r.down), NoListen: true,
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
		return serve(ctx, r.peers, message.(peerCall))
	})
	d.Peers, d.Engine = &peerClient{sim: w, node: r.node}, engineClient{sim: w, vm: name, run: r}
	r.daemon = d
	if err := d.Build(ctx); err != nil {
		w.History.addLine("vm %s does not start: %v", name, err)
		r.close()
		vm.run = r
		return
	}
	if w.Prepare != nil {
		w.Prepare(vm, d)
	}
	r.callers, r.operators, r.peers = d.Callers(), d.Operators(), d.PeerService()
	vm.run = r
	w.History.recordVM(name, vmStarted)
	w.History.addLine("vm %s started", name)
	w.group.Go(func(context.Context) error {
		err := d.Run(ctx, r.stop)
		w.daemonEnded(vm, r, err)
		return nil
	})
	synctest.Wait()
}

// daemonEnded records that the Run method of a daemon has returned, unless the VM
// was already down.
func (w *Simulation) daemonEnded(vm *VM, r *run, err error) {
	select {
	case <-r.down:
		return
	default:
	}
	w.History.recordVM(vm.Name, vmEnded)
	w.History.addLine("vm %s ended: %v", vm.Name, err)
	w.closeIdle(r, w.Timers.Now().Add(closeLimit))
}

// closeIdle closes a run once it has no open calls, or at the time limit. The
// network servers normally do this, but the daemon runs without them here.
func (w *Simulation) closeIdle(r *run, limit time.Time) {
	w.Timers.After(closePollPeriod, func(now time.Time) {
		if r.openCalls.Load() > 0 && now.Before(limit) {
			w.closeIdle(r, limit)
			return
		}
		r.close()
		r.node.Crash()
	})
}

// Crash terminates a VM immediately. Writes that are not synced are lost.
func (w *Simulation) Crash(name string) {
	vm := w.vms[name]
	r := vm.up()
	if r == nil {
		return
	}
	w.History.recordVM(name, vmCrashed)
	w.History.addLine("vm %s crashed", name)
	r.node.Crash()
	r.close()
	synctest.Wait() // let callers lose their connections before anything else reacts
	if vm.Disk != nil {
		vm.Disk.Crash()
	}
	w.dropStreams(func(s *stream) bool { return s.client.run == r }, true)
	r.cancel()
	synctest.Wait()
}

// Wipe erases the disk of a VM, which must be down.
func (w *Simulation) Wipe(name string) { w.vms[name].Disk.Restore(nil) }

// Stop starts the graceful shutdown of a VM.
func (w *Simulation) Stop(name string) {
	r := w.vms[name].up()
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	w.History.recordVM(name, vmStopping)
	close(r.stop)
	synctest.Wait()
}

// Running reports whether a VM is running.
func (w *Simulation) Running(name string) bool { return w.vms[name].up() != nil }

// Serving reports whether the load balancer would send callers to a VM.
func (w *Simulation) Serving(name string) bool {
	r := w.vms[name].up()
	return r != nil && !r.stopping && r.operators.Node.Ready()
}

// SetLoss sets the fraction of messages and replies between entry VMs that are
// lost.
func (w *Simulation) SetLoss(share float64) {
	w.Network.Set(dhfake.Faults{Loss: share, MinDelay: minDelay, MaxDelay: maxDelay})
}

// Partition disconnects groups of zones from each other. Zones that are not
// listed form one more group. Without arguments, it reconnects all zones.
func (w *Simulation) Partition(groups ...[]string) {
	var sides [][]string
	for _, zones := range groups {
		var side []string
		for _, name := range w.vmNames {
			if slices.Contains(zones, w.vms[name].Zone) {
				side = append(side, name)
			}
		}
		for _, id := range w.engineIDs {
			if slices.Contains(zones, w.engines[id].Zone) {
				side = append(side, id)
			}
		}
		sides = append(sides, side)
	}
	w.Isolate(sides...)
}

// Isolate disconnects groups of VMs and backend servers from each other. Without
// arguments, it reconnects all of them.
func (w *Simulation) Isolate(sides ...[]string) {
	w.Network.Partition(sides...)
	w.mu.Lock()
	w.partitionedAt = w.Timers.Now()
	w.mu.Unlock()
	w.History.recordPartition(sides)
	w.History.addLine("partition %v", sides)
	broken := func(s *stream) bool { return !w.Network.Connected(s.client.vm, s.backend.ID) }
	cut := w.findStreams(broken)
	w.Timers.After(connectionTimeout, func(time.Time) {
		for _, s := range cut {
			s.end(errConnectionBroken(s.backend.ID))
			synctest.Wait()
		}
	})
	for _, s := range cut {
		s.cutOff()
	}
}

// hash returns a hash of the names that is seeded with the seed of the simulation.
func (w *Simulation) hash(names ...string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(w.seed)
	for _, s := range names {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// delay returns a one-way delay that is derived from the names.
func (w *Simulation) delay(names ...string) time.Duration {
	return minDelay + time.Duration(w.hash(names...)%uint64(maxDelay-minDelay))
}

// separated returns how long two nodes have been disconnected, or 0 if they are
// connected.
func (w *Simulation) separated(a, b string) time.Duration {
	if w.Network.Connected(a, b) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.Timers.Now().Sub(w.partitionedAt), 1)
}
