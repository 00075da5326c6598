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

	portFront    = 8227
	portReady    = 8220
	portControl  = 8229
	portInternal = 7340
	portBackend  = 8080
	portHidden   = 8081

	zones = 3
	// seedCount is how many control VMs the settings name.
	seedCount = 3
	// readyPeriod is the time between two readiness checks of the balancer.
	readyPeriod = 300 * time.Millisecond
)

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// deployment is all that a run starts.
type deployment struct {
	soak     *Soak
	size     Size
	judge    *Judge
	group    *dhgroup.Group
	network  *network
	controls []*vm
	entries  []*vm
	backends []*backend

	mu    sync.Mutex
	ready map[*vm]bool
}

// ip returns address i of the run's block of 256 addresses with a number.
func (d *deployment) ip(block, i int) string {
	b := d.soak.Network.As4()
	return netip.AddrFrom4([4]byte{b[0], b[1], b[2] + byte(block), byte(1 + i)}).String()
}

// vms returns the control VMs and then the entry VMs.
func (d *deployment) vms() []*vm { return slices.Concat(d.controls, d.entries) }

// Free reports why a block of addresses cannot be used: another program listens there.
func Free(block netip.Addr) error {
	listener, err := net.Listen("tcp", address(block.Next().String(), portControl))
	if err != nil {
		return err
	}
	return listener.Close()
}

// start starts processes, backend servers and the balancer.
func (d *deployment) start() error {
	d.ready = make(map[*vm]bool)
	for i := range d.size.Controls + d.size.Entries {
		v := &vm{deployment: d, role: roleControl, name: fmt.Sprintf("control-%d", i), public: d.ip(0, i), hidden: d.ip(1, i)}
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
		d.network.name(v.hidden, v.name)
	}
	for i, v := range d.vms() {
		if err := d.writeSettings(v, i, true, 0); err != nil {
			return err
		}
		if v.role == roleControl {
			for _, port := range []int{portControl, portInternal} {
				if err := d.network.listen(v.name, address(v.public, port), address(v.hidden, port)); err != nil {
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
		if i%3 == 2 {
			b.pool = poolPlain
		}
		d.backends = append(d.backends, b)
		if err := d.add(b); err != nil {
			return err
		}
	}
	d.group.Go(d.checkReady)
	return nil
}

// add starts a backend server behind the network.
func (d *deployment) add(b *backend) error {
	d.network.name(b.ip, b.name)
	if err := d.network.listen(b.name, address(b.ip, portBackend), address(b.ip, portHidden)); err != nil {
		return err
	}
	if err := b.start(0); err != nil {
		return err
	}
	d.group.Go(b.announceAll)
	return nil
}

// writeSettings writes the settings of a VM in the platform's format. The seeds
// begin with one of the control VMs.
func (d *deployment) writeSettings(v *vm, i int, bootstrap bool, firstSeed int) error {
	s := platform.Settings{
		NodeName: v.name, IP: v.public, Zone: zone(i), InternalPorts: []int{portInternal, portInternal + 9},
		Bootstrap: bootstrap, DataDir: v.disk, HeartbeatMs: float64(heartbeat.Milliseconds()),
	}
	for k := range min(seedCount, len(d.controls)) {
		s.Seeds = append(s.Seeds, address(d.controls[(firstSeed+k)%len(d.controls)].public, portControl))
	}
	if v.role == roleControl {
		s.Listen.Control = address(v.hidden, portControl)
	} else {
		s.Listen.Frontend, s.Listen.Ready = address(v.public, portFront), address(v.public, portReady)
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

// checkReady plays the balancer, which sends new connections to ready VMs.
func (d *deployment) checkReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for dhtimer.Sleep(ctx, d.soak.Timers, readyPeriod) == nil {
		for _, v := range d.entries {
			limited, cancel := dhtimer.WithTimeout(ctx, d.soak.Timers, readyPeriod)
			status, _ := call(limited, client, http.MethodGet, address(v.public, portReady), platform.PathReady, nil)
			cancel()
			d.mu.Lock()
			d.ready[v] = status == http.StatusOK
			d.mu.Unlock()
		}
	}
	return nil
}

// pick returns an entry VM for a new connection: one that is ready, if any is.
func (d *deployment) pick(random *rand.Rand) *vm {
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

// strike plays one fault from its begin to its end.
func (d *deployment) strike(ctx context.Context, o *operator, f fault) {
	control, entry := d.controls[f.target%len(d.controls)], d.entries[f.target%len(d.entries)]
	b := d.backends[f.target%len(d.backends)]
	wait := func() { _ = dhtimer.Sleep(ctx, d.soak.Timers, f.lasts) } // the run ends all processes
	down := func(list ...*vm) {
		defer d.judge.Disturb(disturbedBy(list)...)()
		for _, v := range list {
			v.kill()
		}
		wait()
		for _, v := range list {
			v.up()
		}
	}
	cut := func(v *vm, links ...link) {
		defer d.judge.Disturb(disturbedBy([]*vm{v})...)()
		defer d.network.cut(links...)()
		wait()
	}
	someone := d.vms()[f.target%(len(d.controls)+len(d.entries))]
	switch f.kind {
	case killEntry:
		down(entry)
	case killControl:
		down(control)
	case killAll:
		down(d.controls...)
	case killAfterReply:
		if v := o.acknowledger(ctx, f.lasts); v != nil {
			down(v)
		}
	case stopEntry:
		entry.stop(ctx)
	case stopControl:
		defer d.judge.Disturb(core)()
		control.stop(ctx)
	case pauseEntry, pauseControl:
		v := entry
		if f.kind == pauseControl {
			v = control
		}
		defer d.judge.Disturb(disturbedBy([]*vm{v})...)()
		v.pause()
		wait()
		v.resume()
	case wipeDisk:
		d.wipe(control, f.target%len(d.controls), wait)
	case limitDisk:
		defer d.judge.Disturb(disturbedBy([]*vm{control})...)()
		if control.limitFiles(f.target % 4096) {
			wait()
			control.kill()
			control.up()
		}
	case reloadAll:
		d.reload(f.target)
	case cutControl:
		cut(control, link{control.name, anyone}, link{anyone, control.name})
	case cutControlIn:
		cut(control, link{anyone, control.name})
	case cutControlOut:
		cut(control, link{control.name, anyone})
	case cutEntry:
		cut(entry, link{entry.name, anyone}, link{anyone, entry.name})
	case splitControls:
		d.split(f.target, wait)
	case delayLinks:
		const maxDelayMs = 300
		defer d.judge.Disturb(disturbedBy([]*vm{someone})...)()
		delay := time.Duration(f.target%maxDelayMs) * time.Millisecond
		defer d.network.slow(link{someone.name, anyone}, delay)()
		defer d.network.slow(link{anyone, someone.name}, delay)()
		wait()
	case resetLinks, silenceLinks:
		name := someone.name
		if f.target%2 == 0 {
			name = b.name
			defer d.judge.Disturb(b.instance())()
		}
		defer d.judge.Disturb(disturbedBy(someoneElse(d, name))...)()
		if f.kind == resetLinks {
			d.network.reset(name)
		} else {
			d.network.silence(name)
		}
	case crashBackend, coldBackend, reuseAddress:
		b.crash()
		wait()
		cold := time.Duration(0)
		if f.kind == coldBackend {
			cold = coldFor
		}
		if f.kind == reuseAddress {
			b.exchangePool()
		}
		b.restart(cold)
	case drainBackend:
		b.leave(ctx)
		b.restart(0)
	case misbehave:
		b.behave(f.conduct)
		wait()
		b.behave(sound)
	case cutBackend:
		defer d.judge.Disturb(b.instance())()
		defer d.network.cut(link{b.name, anyone}, link{anyone, b.name})()
		wait()
	}
}

// disturbedBy returns what faults on VMs disturb: these, and the core if one of
// them belongs to it.
func disturbedBy(list []*vm) []string {
	var names []string
	for _, v := range list {
		names = append(names, v.name)
		if v.role == roleControl {
			names = append(names, core)
		}
	}
	return names
}

// someoneElse returns the VM with a name, or all VMs for a backend server, whose
// connections are those of everyone.
func someoneElse(d *deployment, name string) []*vm {
	all := d.vms()
	for _, v := range all {
		if v.name == name {
			return []*vm{v}
		}
	}
	return all
}

// wipe loses the disk of a control VM, which then starts with an empty one.
func (d *deployment) wipe(v *vm, i int, wait func()) {
	defer d.judge.Disturb(disturbedBy([]*vm{v})...)()
	v.kill()
	if err := v.wipe(); err != nil {
		d.judge.Broken("soak", "wipe of %s: %v", v.name, err)
	}
	if err := d.writeSettings(v, i, false, i); err != nil {
		d.judge.Broken("soak", "settings of %s: %v", v.name, err)
	}
	wait()
	v.up()
}

// reload names other seeds to all VMs and tells them by SIGHUP.
func (d *deployment) reload(firstSeed int) {
	for i, v := range d.vms() {
		if err := d.writeSettings(v, i, false, firstSeed); err != nil {
			d.judge.Broken("soak", "settings of %s: %v", v.name, err)
		}
		v.mu.Lock()
		v.signal(syscall.SIGHUP)
		v.mu.Unlock()
	}
}

// split cuts the control VMs in two halves that others can reach.
func (d *deployment) split(target int, wait func()) {
	var links []link
	for i, a := range d.controls {
		for k, b := range d.controls {
			if (i+target)%2 != (k+target)%2 {
				links = append(links, link{a.name, b.name})
			}
		}
	}
	defer d.judge.Disturb(disturbedBy(d.controls)...)()
	defer d.network.cut(links...)()
	wait()
}

// mend brings back what the storm has left down.
func (d *deployment) mend() {
	for _, v := range d.vms() {
		v.mu.Lock()
		if v.process == nil {
			v.restart()
		}
		v.mu.Unlock()
	}
}

// plannedWork empties a backend server, stops an entry VM and rolls out a version
// in the calm span.
func (d *deployment) plannedWork(ctx context.Context, o *operator) error {
	if err := dhtimer.Sleep(ctx, d.soak.Timers, contactBound); err != nil {
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

// end ends all processes. Backend servers end with the group.
func (d *deployment) end() {
	for _, v := range d.vms() {
		v.end()
	}
}
