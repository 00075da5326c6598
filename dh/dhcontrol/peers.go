package dhcontrol

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwatch"
)

// peers are the other control VMs. It is safe for use by several goroutines.
type peers struct {
	control *Control

	mu   sync.Mutex
	rows map[string]*peer
}

// peer is another control VM.
type peer struct {
	record *dhpb.ControlRecord
	// heard is when the VM was last heard, by itself or through others.
	heard time.Time
	seed  bool
	// answered is when it last answered this VM, and acknowledged the position
	// up to which it has this VM's registry.
	answered     time.Time
	acknowledged uint64
	watched      bool
}

const (
	// peerWait is how long a watch of another control VM waits; announcements
	// that change nothing travel in this period.
	peerWait = 300 * time.Millisecond
	// peerTimeout is added to it for the answer.
	peerTimeout = 500 * time.Millisecond
	// peerPause spaces calls to a control VM that does not answer.
	peerPause = 200 * time.Millisecond
	// forgetPeer is how long a control VM is looked for that nobody hears.
	forgetPeer = time.Minute
	// maxPeers bounds the control VMs; the plan is for 11 at most.
	maxPeers = 64
)

func newPeers(c *Control) *peers {
	p := &peers{control: c, rows: make(map[string]*peer)}
	p.setSeeds(c.Seeds)
	return p
}

// setSeeds adds addresses from the settings.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.rows {
		row.seed = false
	}
	for _, address := range seeds {
		if row := p.row(address); row != nil {
			row.seed = true
		}
	}
}

// SetSeeds takes new seeds from changed settings.
func (c *Control) SetSeeds(seeds []string) { c.peers.setSeeds(seeds) }

// row returns the row of an address other than the own, which it adds.
func (p *peers) row(address string) *peer {
	if address == p.control.Address {
		return nil
	}
	row, ok := p.rows[address]
	if !ok {
		if len(p.rows) >= maxPeers {
			return nil
		}
		row = &peer{record: &dhpb.ControlRecord{Address: address}, heard: p.control.Timers.Now()}
		p.rows[address] = row
	}
	return row
}

// heard takes what a control VM, or another one, says of it.
func (p *peers) heard(r *dhpb.ControlRecord) {
	if r.GetAddress() == "" || r.GetVm() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.row(r.GetAddress())
	if row == nil {
		return
	}
	at := p.control.Timers.Now().Add(-r.GetAge().AsDuration())
	if at.After(row.heard) {
		row.heard = at
	}
	if r.GetIncarnation() >= row.record.GetIncarnation() {
		row.record = r
	}
}

// acknowledge notes up to which position a control VM has the registry.
func (p *peers) acknowledge(vm string, position uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.rows {
		if row.record.GetVm() == vm {
			row.acknowledged = max(row.acknowledged, position)
		}
	}
}

// self returns this VM's own record.
func (p *peers) self() *dhpb.ControlRecord {
	c := p.control
	r := &dhpb.ControlRecord{Vm: c.Name, Address: c.Address, Zone: c.Zone, Incarnation: c.Incarnation, Age: durationpb.New(0)}
	if v := c.voter.Load(); v != nil && v.Status().Err == nil {
		r.VoterId = v.Status().ID
	}
	return r
}

// records returns this VM and the others that are known by name, without those
// whose addresses the caller hears itself.
func (p *peers) records(heard []string) []*dhpb.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	list := []*dhpb.ControlRecord{p.self()}
	for _, row := range p.rows {
		if row.record.GetVm() == "" || slices.Contains(heard, row.record.GetAddress()) {
			continue
		}
		r := row.record
		list = append(list, &dhpb.ControlRecord{
			Vm: r.GetVm(), Address: r.GetAddress(), Zone: r.GetZone(), Incarnation: r.GetIncarnation(), VoterId: r.GetVoterId(),
			Age: durationpb.New(now.Sub(row.heard)),
		})
	}
	slices.SortFunc(list, func(a, b *dhpb.ControlRecord) int { return cmp.Compare(a.GetVm(), b.GetVm()) })
	return list
}

// addresses returns the addresses of all other control VMs.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]string, 0, len(p.rows))
	for address := range p.rows {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

// run watches every other control VM.
func (p *peers) run(ctx context.Context) error {
	group := dhgroup.New(ctx)
	for ctx.Err() == nil {
		for _, address := range p.unwatched() {
			group.Go(func(ctx context.Context) error { return p.watch(ctx, address) })
		}
		_ = dhtimer.Sleep(ctx, p.control.Timers, peerPause) // the loop ends with ctx
	}
	return group.Wait()
}

// unwatched returns the control VMs that no goroutine watches, and counts them as watched.
func (p *peers) unwatched() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, row := range p.rows {
		if !row.watched {
			row.watched = true
			list = append(list, address)
		}
	}
	return list
}

// watch watches one control VM until nobody has heard it for long.
func (p *peers) watch(ctx context.Context, address string) error {
	c := p.control
	var epoch, position uint64
	lost := true
	for ctx.Err() == nil && !p.forget(address) {
		reply, err := p.ask(ctx, address, epoch, position)
		if err != nil {
			if !lost {
				c.Log.Warn("control VM lost", slog.String("control", address), slog.String("error", err.Error()))
			}
			lost = true
			_ = dhtimer.Sleep(ctx, c.Timers, peerPause) // the loop ends with ctx
			continue
		}
		if lost {
			c.Log.Info("watching control VM", slog.String("control", address))
		}
		lost = false
		epoch, position = reply.GetEpoch(), reply.GetPosition()
		p.merge(address, reply)
	}
	return nil
}

func (p *peers) ask(ctx context.Context, address string, epoch, position uint64) (*dhpb.ControlWatchResponse, error) {
	c := p.control
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, peerWait+peerTimeout)
	defer cancel()
	document, operations := c.state()
	return c.Peers.Watch(ctx, address, &dhpb.ControlWatchRequest{
		Vm: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, Epoch: epoch, Position: position,
		Document: document.GetVersion(), Operations: operations.GetNumber(), Wait: durationpb.New(peerWait), Control: p.self(),
		Heard: p.answering(),
	})
}

// merge takes over what another control VM answers.
func (p *peers) merge(address string, reply *dhpb.ControlWatchResponse) {
	c := p.control
	p.mu.Lock()
	if row := p.rows[address]; row != nil {
		now := c.Timers.Now()
		row.heard, row.answered = now, now
	}
	p.mu.Unlock()
	for _, r := range reply.GetControls() {
		p.heard(r)
	}
	if err := c.entries.merge(address, reply); err != nil {
		c.Log.Warn("loads not read", slog.String("control", address), slog.String("error", err.Error()))
	}
	records, err := dhwatch.Records(reply)
	if err != nil {
		c.Log.Warn("backend servers not read", slog.String("control", address), slog.String("error", err.Error()))
	}
	content := false
	for _, r := range records {
		content = c.learn(r, address) || content
	}
	for _, n := range reply.GetRenewals() {
		if r := c.registry.Renew(n, address); r != nil {
			c.logBackend(r, address)
			content = true
		}
	}
	if content {
		c.notify()
	}
	// A control VM tells only of what is decided.
	if d := reply.GetDocument(); d != nil {
		c.applyDocument(d)
	}
	if o := reply.GetOperations(); o != nil {
		c.applyOperations(o)
	}
}

// forget reports whether a control VM is no longer looked for, and drops it.
func (p *peers) forget(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[address]
	if row == nil {
		return true
	}
	if row.seed || p.control.Timers.Now().Sub(row.heard) <= forgetPeer {
		return false
	}
	delete(p.rows, address)
	return true
}

// answering returns the addresses of the control VMs that answer this one.
func (p *peers) answering() []string {
	alive := p.answeredWithin(peerWait + peerTimeout)
	return slices.Sorted(maps.Keys(alive))
}

// answeredWithin reports whether the control VM with a voter answered lately.
func (p *peers) answeredWithin(d time.Duration) map[string]*dhpb.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	alive := make(map[string]*dhpb.ControlRecord)
	for _, row := range p.rows {
		if row.record.GetVm() != "" && !row.answered.IsZero() && now.Sub(row.answered) <= d {
			alive[row.record.GetAddress()] = row.record
		}
	}
	return alive
}

// replicated reports whether more than half of the control VMs that answer
// have the registry up to a position.
func (p *peers) replicated(position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	all, have := 1, 1
	for _, row := range p.rows {
		if row.answered.IsZero() || now.Sub(row.answered) > maxMajorityAge {
			continue
		}
		all++
		if row.acknowledged >= position {
			have++
		}
	}
	return 2*have > all
}
