package dhsoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

const (
	roleEntry   = "entry"
	roleControl = "control"

	portFrontend      = 8227
	portReady         = 8220
	portControl       = 8229
	portInternal      = 7340
	portBackend       = 8080
	portBackendDirect = 8081

	zones = 3
	// One in poolStride backend servers is in the pool of plain ones.
	poolStride = 3
	// seedCount is how many control VMs the settings list as seeds.
	seedCount = 3
	// readyPeriod is the time between two readiness checks of the load balancer.
	readyPeriod = 300 * time.Millisecond
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// deployment holds the processes, backend servers and network of a run.
type deployment struct {
	soak     *Soak
	size     Size
	checker  *Checker
	group    *dhgroup.Group
	network  *network
	controls []*vm
	entries  []*vm
	backends []*backend

	mu    sync.Mutex
	ready map[*vm]bool
	// badPart is the prompt part that crashes backend servers, or empty.
	badPart string
	// deadly is the end of the path of the request that crashes backend servers, or empty.
	deadly string
}

// ip returns address i of one of the run's numbered blocks of 256 addresses.
func (d *deployment) ip(block, i int) string {
	b := d.soak.Network.As4()
	return netip.AddrFrom4([4]byte{b[0], b[1], b[2] + byte(block), byte(1 + i)}).String()
}

// vms returns the control VMs and then the entry VMs.
func (d *deployment) vms() []*vm { return slices.Concat(d.controls, d.entries) }

// Free returns an error if a block of addresses cannot be used because another
// program listens there.
func Free(block netip.Addr) error {
	listener, err := net.Listen("tcp", address(block.Next().String(), portControl))
	if err != nil {
		return err
	}
	return listener.Close()
}

// start starts the processes, the backend servers and the load balancer's
// readiness checks.
func (d *deployment) start() error {
	d.ready = make(map[*vm]bool)
	for i := range d.size.Controls + d.size.Entries {
		v := &vm{deployment: d, old: d.soak.OldProgram != "", role: roleControl, name: controlName(i), publicIP: d.ip(0, i), privateIP: d.ip(1, i)}
		if i >= d.size.Controls {
			v.role, v.name = roleEntry, fmt.Sprintf("entry-%d", i-d.size.Controls)
			d.entries = append(d.entries, v)
		} else {
			v.disk = filepath.Join(d.soak.Folder, v.name+"-disk")
			if err := os.Mkdir(v.disk, 0o755); err != nil {
				return err
			}
			d.controls = append(d.controls, v)
		}
		v.settings = filepath.Join(d.soak.Folder, v.name+".toml")
		d.network.register(v.privateIP, v.name)
	}
	for i, v := range d.vms() {
		if err := d.writeSettings(v, i, true, 0); err != nil {
			return err
		}
		if v.role == roleControl {
			for _, port := range []int{portControl, portInternal} {
				if err := d.network.listen(v.name, address(v.publicIP, port), address(v.privateIP, port)); err != nil {
					return err
				}
			}
		}
		v.mu.Lock()
		err := v.start()
		v.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for i := range d.size.Backends {
		b := &backend{deployment: d, name: fmt.Sprintf("backend-%d", i), ip: d.ip(2, i), zone: zone(i + i/zones), version: versionOld, random: rand.New(rand.NewPCG(d.soak.Seed, uint64(1000+i)))}
		b.pool = poolEngine
		if i%poolStride == poolStride-1 {
			b.pool = poolPlain
		}
		d.backends = append(d.backends, b)
		if err := d.add(b); err != nil {
			return err
		}
	}
	d.group.Go(d.pollReadiness)
	return nil
}

// add starts a backend server whose connections go through the network.
func (d *deployment) add(b *backend) error {
	d.network.register(b.ip, b.name)
	if err := d.network.listen(b.name, address(b.ip, portBackend), address(b.ip, portBackendDirect)); err != nil {
		return err
	}
	if err := b.start(0); err != nil {
		return err
	}
	d.group.Go(b.announceAll)
	return nil
}

// writeSettings writes the settings of a VM in the platform's format. The list of
// seeds begins with control VM firstSeed.
func (d *deployment) writeSettings(v *vm, i int, bootstrap bool, firstSeed int) error {
	s := platform.Settings{
		NodeName: v.name, IP: v.publicIP, Zone: zone(i), InternalPorts: []int{portInternal, portInternal + 9},
		Bootstrap: bootstrap, DataDir: v.disk, HeartbeatMs: float64(heartbeat.Milliseconds()),
	}
	for k := range min(seedCount, len(d.controls)) {
		s.Seeds = append(s.Seeds, address(d.controls[(firstSeed+k)%len(d.controls)].publicIP, portControl))
	}
	if v.role == roleControl {
		s.Listen.Control = address(v.privateIP, portControl)
	} else {
		s.Listen.Frontend, s.Listen.Ready = address(v.publicIP, portFrontend), address(v.publicIP, portReady)
	}
	s.FaultTolerance.Machines = 1
	s.Bounds = platform.Bounds{
		GraceS: graceBound.Seconds(), RevokeMs: float64(keyBound.Milliseconds()),
		RetryBudgetRatio: retryRatio, RetryWindowS: retryWindow.Seconds(), RetrySlack: retrySlack,
		ExposureShare: exposureShare, ColdOvershoot: coldOvershoot, ColdSlack: coldSlack,
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		return err
	}
	return os.WriteFile(v.settings, text.Bytes(), 0o644)
}

// pollReadiness polls the readiness of the entry VMs as a load balancer does, which
// sends new connections only to ready VMs.
func (d *deployment) pollReadiness(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for dhtimer.Sleep(ctx, d.soak.Timers, readyPeriod) == nil {
		for _, v := range d.entries {
			limited, cancel := dhtimer.WithTimeout(ctx, d.soak.Timers, readyPeriod)
			status, _ := call(limited, client, http.MethodGet, address(v.publicIP, portReady), platform.PathReady, nil)
			cancel()
			d.mu.Lock()
			d.ready[v] = status == http.StatusOK
			d.mu.Unlock()
		}
	}
	return nil
}

// pickEntry returns a random entry VM for a new connection: one that is ready, if
// there is any.
func (d *deployment) pickEntry(random *rand.Rand) *vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*vm
	for _, v := range d.entries {
		if d.ready[v] {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = d.entries
	}
	return list[random.IntN(len(list))]
}

// inject injects one fault and returns when it has ended.
func (d *deployment) inject(ctx context.Context, o *operator, f fault) {
	control, entry := d.controls[f.target%len(d.controls)], d.entries[f.target%len(d.entries)]
	b := d.backends[f.target%len(d.backends)]
	wait := func() { _ = dhtimer.Sleep(ctx, d.soak.Timers, f.duration) } // the end of the run stops all processes
	killAndRestart := func(list ...*vm) {
		defer d.checker.Disturb(disturbedBy(list)...)()
		for _, v := range list {
			v.kill()
		}
		wait()
		for _, v := range list {
			v.bringUp()
		}
	}
	cut := func(v *vm, links ...link) {
		defer d.checker.Disturb(disturbedBy([]*vm{v})...)()
		defer d.network.cut(links...)()
		wait()
	}
	anyVM := d.vms()[f.target%(len(d.controls)+len(d.entries))]
	switch f.kind {
	case killEntry:
		killAndRestart(entry)
	case killControl:
		killAndRestart(control)
	case killControls:
		killAndRestart(d.controls...)
	case killAfterReply:
		if v := o.awaitAcknowledgement(ctx, f.duration); v != nil {
			killAndRestart(v)
		}
	case stopEntry:
		entry.stop(ctx)
	case stopControl:
		defer d.checker.Disturb(controlPlane)()
		control.stop(ctx)
	case pauseEntry, pauseControl:
		v := entry
		if f.kind == pauseControl {
			v = control
		}
		defer d.checker.Disturb(disturbedBy([]*vm{v})...)()
		v.pause()
		wait()
		v.resume()
	case wipeDisk:
		d.wipe(control, f.target%len(d.controls), wait)
	case limitDisk:
		defer d.checker.Disturb(disturbedBy([]*vm{control})...)()
		if control.limitFiles(f.target % 4096) {
			wait()
			control.kill()
			control.bringUp()
		}
	case reloadAll:
		d.reload(f.target)
	case cutControl:
		cut(control, link{control.name, wildcard}, link{wildcard, control.name})
	case cutControlIn:
		cut(control, link{wildcard, control.name})
	case cutControlOut:
		cut(control, link{control.name, wildcard})
	case cutEntry:
		cut(entry, link{entry.name, wildcard}, link{wildcard, entry.name})
	case splitControls:
		d.split(f.target, wait)
	case delayLinks:
		const maxDelayMs = 300
		defer d.checker.Disturb(disturbedBy([]*vm{anyVM})...)()
		delay := time.Duration(f.target%maxDelayMs) * time.Millisecond
		defer d.network.addDelay(link{anyVM.name, wildcard}, delay)()
		defer d.network.addDelay(link{wildcard, anyVM.name}, delay)()
		wait()
	case resetLinks, silenceLinks:
		name := anyVM.name
		if f.target%2 == 0 {
			name = b.name
			defer d.checker.Disturb(b.instance())()
		}
		defer d.checker.Disturb(disturbedBy(affectedVMs(d, name))...)()
		if f.kind == resetLinks {
			d.network.reset(name)
		} else {
			d.network.silence(name)
		}
	case lingerBackend:
		b.linger(ctx)
	case exchangeVM:
		defer d.checker.Disturb(disturbedBy([]*vm{anyVM})...)()
		anyVM.exchange(ctx)
	case crashBackend, coldBackend, reuseAddress:
		b.crash()
		wait()
		cold := time.Duration(0)
		if f.kind == coldBackend {
			cold = coldFor
		}
		if f.kind == reuseAddress {
			b.switchPool()
		}
		b.restart(cold)
	case drainBackend:
		b.leave(ctx)
		b.restart(0)
	case misbehave:
		if f.conduct == copying && d.soak.OldProgram != "" {
			return // the old program may believe copies; the calm phase plays them
		}
		b.setConduct(f.conduct)
		wait()
		if f.conduct == copying {
			b.restartInPlace()
			wait()
		}
		b.setConduct(healthy)
	case limitRequests:
		b.setLimit(requestLimits[f.target%len(requestLimits)], f.duration+limitAfterFault)
	case deadlyRequest:
		defer d.deadlyRequest(f.target)()
		wait()
	case cutFromBackends:
		v := d.entries[f.target%len(d.entries)]
		defer d.checker.Disturb(v.name)()
		for _, b := range d.backends {
			defer d.network.cut(link{b.name, v.name}, link{v.name, b.name})()
		}
		wait()
	case crashingPart:
		defer d.crashingPart(f.target)()
		wait()
	case cutBackend:
		defer d.checker.Disturb(b.instance())()
		defer d.network.cut(link{b.name, wildcard}, link{wildcard, b.name})()
		wait()
	}
}

// controlName returns the name of a control VM by its number.
func controlName(i int) string { return fmt.Sprintf("control-%d", i) }

// disturbedBy returns the names that faults on VMs disturb: the VMs themselves,
// and controlPlane if one of them is a control VM.
func disturbedBy(list []*vm) []string {
	var names []string
	for _, v := range list {
		names = append(names, v.name)
		if v.role == roleControl {
			names = append(names, controlPlane)
		}
	}
	return names
}

// affectedVMs returns the VM with a name, or all VMs if the name is that of a
// backend server, since all of them have connections to it.
func affectedVMs(d *deployment, name string) []*vm {
	all := d.vms()
	for _, v := range all {
		if v.name == name {
			return []*vm{v}
		}
	}
	return all
}

// wipe empties the disk of a control VM and restarts the VM.
func (d *deployment) wipe(v *vm, i int, wait func()) {
	defer d.checker.Disturb(disturbedBy([]*vm{v})...)()
	v.kill()
	if err := v.wipe(); err != nil {
		d.checker.RecordViolation("soak", "wipe of %s: %v", v.name, err)
	}
	if err := d.writeSettings(v, i, false, i); err != nil {
		d.checker.RecordViolation("soak", "settings of %s: %v", v.name, err)
	}
	wait()
	v.bringUp()
}

// reload changes the seeds in the settings of all VMs and sends them SIGHUP.
func (d *deployment) reload(firstSeed int) {
	for i, v := range d.vms() {
		if err := d.writeSettings(v, i, false, firstSeed); err != nil {
			d.checker.RecordViolation("soak", "settings of %s: %v", v.name, err)
		}
		v.mu.Lock()
		v.signal(syscall.SIGHUP)
		v.mu.Unlock()
	}
}

// split partitions the control VMs into two halves; all other links stay up.
func (d *deployment) split(target int, wait func()) {
	var links []link
	for i, a := range d.controls {
		for k, b := range d.controls {
			if (i+target)%2 != (k+target)%2 {
				links = append(links, link{a.name, b.name})
			}
		}
	}
	defer d.checker.Disturb(disturbedBy(d.controls)...)()
	defer d.network.cut(links...)()
	wait()
}

// restartStopped starts the processes that are still down after the storm, and exchanges
// old programs.
func (d *deployment) restartStopped(ctx context.Context) {
	for _, v := range d.vms() {
		if v.runsOld() {
			v.exchange(ctx)
		}
		v.mu.Lock()
		if v.process == nil {
			v.restart()
		}
		v.mu.Unlock()
	}
}

// keepsLeaves reports whether no control VM runs the old program, which does not make leaves
// durable.
func (d *deployment) keepsLeaves() bool {
	return !slices.ContainsFunc(d.controls, (*vm).runsOld)
}

// plannedWork drains a backend server, stops an entry VM and rolls out a version
// in the calm phase.
func (d *deployment) plannedWork(ctx context.Context, o *operator) error {
	if err := dhtimer.Sleep(ctx, d.soak.Timers, settleTime); err != nil {
		return err
	}
	work := dhgroup.New(ctx)
	work.Go(func(ctx context.Context) error {
		d.backends[0].leave(ctx)
		d.backends[0].restart(0)
		return nil
	})
	work.Go(func(ctx context.Context) error {
		d.entries[0].stop(ctx)
		return nil
	})
	work.Go(o.rollOut)
	return work.Wait()
}

// end kills all processes. Backend servers stop with the group.
func (d *deployment) end() {
	for _, v := range d.vms() {
		v.end()
	}
}
