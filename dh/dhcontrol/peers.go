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

// peers tracks the other control VMs. It is safe for concurrent use.
type peers struct {
	control *Control

	mu        sync.Mutex
	byAddress map[string]*peer
}

// peer is another control VM.
type peer struct {
	record *dhpb.ControlRecord
	// lastHeard is when the VM was last heard from, directly or through other
	// control VMs.
	lastHeard time.Time
	seed      bool
	// lastAnswer is when the VM last answered a call of this VM. acknowledged is
	// the position up to which it has received this VM's registry.
	lastAnswer   time.Time
	acknowledged uint64
	watched      bool
}

const (
	// peerWatchWait is the long-poll duration of a watch of another control VM.
	// Announcements that change nothing are forwarded once per period.
	peerWatchWait = 300 * time.Millisecond
	// peerTimeout is added to peerWatchWait to bound the call.
	peerTimeout = 500 * time.Millisecond
	// peerRetryDelay is the delay between calls to a control VM that does not
	// answer.
	peerRetryDelay = 200 * time.Millisecond
	// peerRetention is how long a control VM that no VM hears from is still
	// contacted.
	peerRetention = time.Minute
	// maxPeers bounds the number of control VMs. At most 11 are planned.
	maxPeers = 64
)

func newPeers(c *Control) *peers {
	p := &peers{control: c, byAddress: make(map[string]*peer)}
	p.setSeeds(c.Seeds)
	return p
}

// setSeeds replaces the seed addresses and adds those that are not known yet.
func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.byAddress {
		row.seed = false
	}
	for _, address := range seeds {
		if row := p.getOrAdd(address); row != nil {
			row.seed = true
		}
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (c *Control) SetSeeds(seeds []string) { c.peers.setSeeds(seeds) }

// getOrAdd returns the peer with an address and adds it if it is unknown. It
// returns nil for the address of this VM and if there are too many peers.
func (p *peers) getOrAdd(address string) *peer {
	if address == p.control.Address {
		return nil
	}
	row, ok := p.byAddress[address]
	if !ok {
		if len(p.byAddress) >= maxPeers {
			return nil
		}
		row = &peer{record: &dhpb.ControlRecord{Address: address}, lastHeard: p.control.Timers.Now()}
		p.byAddress[address] = row
	}
	return row
}

// observe updates a peer from a record that the peer itself or another control VM
// sent.
func (p *peers) observe(r *dhpb.ControlRecord) {
	if r.GetAddress() == "" || r.GetVm() == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.getOrAdd(r.GetAddress())
	if row == nil {
		return
	}
	at := p.control.Timers.Now().Add(-r.GetAge().AsDuration())
	if at.After(row.lastHeard) {
		row.lastHeard = at
	}
	if r.GetIncarnation() >= row.record.GetIncarnation() {
		row.record = r
	}
}

// acknowledge records the position up to which a control VM has received the
// registry.
func (p *peers) acknowledge(vm string, position uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.byAddress {
		if row.record.GetVm() == vm {
			row.acknowledged = max(row.acknowledged, position)
		}
	}
}

// self returns the record of this VM.
func (p *peers) self() *dhpb.ControlRecord {
	c := p.control
	r := &dhpb.ControlRecord{Vm: c.Name, Address: c.Address, Zone: c.Zone, Incarnation: c.Incarnation, Age: durationpb.New(0)}
	if v := c.voter.Load(); v != nil && v.Status().Err == nil {
		r.VoterId = v.Status().ID
	}
	return r
}

// records returns this VM and all peers with a known name, except those whose
// addresses are in heard, which the caller hears from directly.
func (p *peers) records(heard []string) []*dhpb.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	list := []*dhpb.ControlRecord{p.self()}
	for _, row := range p.byAddress {
		if row.record.GetVm() == "" || slices.Contains(heard, row.record.GetAddress()) {
			continue
		}
		r := row.record
		list = append(list, &dhpb.ControlRecord{
			Vm: r.GetVm(), Address: r.GetAddress(), Zone: r.GetZone(), Incarnation: r.GetIncarnation(), VoterId: r.GetVoterId(),
			Age: durationpb.New(now.Sub(row.lastHeard)),
		})
	}
	slices.SortFunc(list, func(a, b *dhpb.ControlRecord) int { return cmp.Compare(a.GetVm(), b.GetVm()) })
	return list
}

// addresses returns the addresses of all other control VMs.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]string, 0, len(p.byAddress))
	for address := range p.byAddress {
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
		_ = dhtimer.Sleep(ctx, p.control.Timers, peerRetryDelay) // the loop ends with ctx
	}
	return group.Wait()
}

// unwatched returns the control VMs that no goroutine watches yet, and marks them
// as watched.
func (p *peers) unwatched() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, row := range p.byAddress {
		if !row.watched {
			row.watched = true
			list = append(list, address)
		}
	}
	return list
}

// watch watches one control VM until it expires.
func (p *peers) watch(ctx context.Context, address string) error {
	c := p.control
	var epoch, position, quarantine uint64
	var trials []*dhpb.TrialSessions
	lost := true
	for ctx.Err() == nil && !p.expire(address) {
		sent := c.Clock.Elapsed()
		reply, err := p.callWatch(ctx, address, epoch, position, quarantine, trials)
		if err != nil {
			if !lost {
				c.Log.Warn("control VM lost", slog.String("control", address), slog.String("error", err.Error()))
			}
			lost = true
			_ = dhtimer.Sleep(ctx, c.Timers, peerRetryDelay) // the loop ends with ctx
			continue
		}
		if lost {
			c.Log.Info("watching control VM", slog.String("control", address))
		}
		lost = false
		epoch, position, quarantine = reply.GetEpoch(), reply.GetPosition(), reply.GetQuarantine().GetNumber()
		p.merge(address, reply)
		trials = c.mergeTrialSessions(address, reply.GetTrialSessions())
		c.grantor.merge(reply.GetLimits(), false, address)
		c.grantor.follow(reply.GetGrants(), sent)
		if c.quarantine.MergeState(reply.GetQuarantine()) {
			c.notify()
		}
	}
	return nil
}

func (p *peers) callWatch(ctx context.Context, address string, epoch, position, quarantine uint64, trials []*dhpb.TrialSessions) (*dhpb.ControlWatchResponse, error) {
	c := p.control
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, peerWatchWait+peerTimeout)
	defer cancel()
	document, operations := c.state()
	return c.Peers.Watch(ctx, address, &dhpb.ControlWatchRequest{
		Vm: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, Epoch: epoch, Position: position,
		Document: document.GetVersion(), Operations: operations.GetNumber(), Wait: durationpb.New(peerWatchWait), Control: p.self(),
		Heard: p.responsiveAddresses(), Grants: c.grantor.held(), Quarantine: quarantine,
		Report: &dhpb.EntryReport{TrialSessions: trials},
	})
}

// merge applies the response of another control VM.
func (p *peers) merge(address string, reply *dhpb.ControlWatchResponse) {
	c := p.control
	p.mu.Lock()
	if row := p.byAddress[address]; row != nil {
		now := c.Timers.Now()
		row.lastHeard, row.lastAnswer = now, now
	}
	p.mu.Unlock()
	for _, r := range reply.GetControls() {
		p.observe(r)
	}
	if err := c.entries.merge(address, reply); err != nil {
		c.Log.Warn("loads not read", slog.String("control", address), slog.String("error", err.Error()))
	}
	records, err := dhwatch.Records(reply)
	if err != nil {
		c.Log.Warn("backend servers not read", slog.String("control", address), slog.String("error", err.Error()))
	}
	changed := false
	for _, r := range records {
		changed = c.mergeRecord(r, address) || changed
	}
	changed = c.mergeDepartures(reply, records) || changed
	for _, n := range reply.GetRenewals() {
		if r := c.registry.Renew(n, address); r != nil {
			c.logBackend(r, address)
			changed = true
		}
	}
	if changed {
		c.notify()
	}
	// Control VMs send committed values only.
	if d := reply.GetDocument(); d != nil {
		c.applyDocument(d)
	}
	if o := reply.GetOperations(); o != nil {
		c.applyOperations(o)
	}
}

// expire removes a control VM that has not been heard from for peerRetention, and
// reports whether it is gone.
func (p *peers) expire(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.byAddress[address]
	if row == nil {
		return true
	}
	if row.seed || p.control.Timers.Now().Sub(row.lastHeard) <= peerRetention {
		return false
	}
	delete(p.byAddress, address)
	return true
}

// responsiveAddresses returns the addresses of the control VMs that currently
// answer this one.
func (p *peers) responsiveAddresses() []string {
	alive := p.answeredWithin(peerWatchWait + peerTimeout)
	return slices.Sorted(maps.Keys(alive))
}

// answeredWithin returns, by address, the control VMs that have answered within a
// duration.
func (p *peers) answeredWithin(d time.Duration) map[string]*dhpb.ControlRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	alive := make(map[string]*dhpb.ControlRecord)
	for _, row := range p.byAddress {
		if row.record.GetVm() != "" && !row.lastAnswer.IsZero() && now.Sub(row.lastAnswer) <= d {
			alive[row.record.GetAddress()] = row.record
		}
	}
	return alive
}

// replicated reports whether more than half of the responsive control VMs,
// including this one, have the registry up to a position.
func (p *peers) replicated(position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.control.Timers.Now()
	all, have := 1, 1
	for _, row := range p.byAddress {
		if row.lastAnswer.IsZero() || now.Sub(row.lastAnswer) > maxMajorityAge {
			continue
		}
		all++
		if row.acknowledged >= position {
			have++
		}
	}
	return 2*have > all
}
