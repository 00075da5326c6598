package dhcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// maxWatchWait bounds the long-poll duration of a watch.
const maxWatchWait = 2 * time.Second

const (
	// entryBatchWindow and peerBatchWindow delay the responses to an entry VM or
	// a control VM after a change, so that one response covers all changes in the
	// meantime. Without them, 240 backend servers that started together made each
	// control VM send 49 entry VMs one response per backend server, and majority
	// reads took over one second. The window for control VMs is shorter because
	// leaves wait for them.
	entryBatchWindow = 150 * time.Millisecond
	peerBatchWindow  = 20 * time.Millisecond
	// entrySpread is the time over which the responses to entry VMs are spread
	// after a change, so that control VMs receive it first.
	entrySpread = 100 * time.Millisecond
)

// Watch implements the Twirp ControlService. It returns the changes after the
// position of the caller: shortly after a change that the caller must act on,
// otherwise when the requested wait has passed.
func (c *Control) Watch(ctx context.Context, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	if m.GetVm() == "" {
		return nil, dhcode.Errorf(dhcode.RequestMalformed, "a watch needs the name of the VM")
	}
	if r := m.GetControl(); r != nil {
		c.peers.observe(r)
	} else {
		c.entries.report(m)
		r := m.GetReport()
		c.mergeTrialSessions(m.GetVm(), r.GetTrialSessions())
		c.grantor.merge(r.GetLimits(), true, m.GetVm())
		if c.quarantine.MergeReport(r) {
			c.notify()
		}
	}
	if m.GetEpoch() != c.Incarnation {
		return c.buildResponse(ctx, m)
	}
	c.peers.acknowledge(m.GetVm(), m.GetPosition())
	began := c.Timers.Now()
	wait, cancel := dhtimer.WithTimeout(ctx, c.Timers, min(m.GetWait().AsDuration(), maxWatchWait))
	defer cancel()
	for {
		changed := c.onChange()
		if c.hasChanges(m) {
			_ = dhtimer.Sleep(wait, c.Timers, c.batchDelay(m, began)) // a response follows in either case
			return c.buildResponse(ctx, m)
		}
		select {
		case <-changed:
		case <-wait.Done():
			return c.buildResponse(ctx, m)
		}
	}
}

// batchDelay returns how long to delay the response to a caller with changes,
// where began is the start of its watch.
func (c *Control) batchDelay(m *dhpb.ControlWatchRequest, began time.Time) time.Duration {
	rest := began.Sub(c.Timers.Now())
	if m.GetControl() != nil {
		return max(rest+peerBatchWindow, 0)
	}
	fraction := float64(xxhash.Sum64String(m.GetVm())>>11) / (1 << 53)
	return max(rest+entryBatchWindow, time.Duration(fraction*float64(entrySpread)))
}

// hasChanges reports whether there are changes that the caller must receive soon.
func (c *Control) hasChanges(m *dhpb.ControlWatchRequest) bool {
	document, operations := c.state()
	if c.tellsDocument(m) && document.GetVersion() > m.GetDocument() || operations.GetNumber() > m.GetOperations() || c.grantor.outdated(m) ||
		c.quarantine.Number() != m.GetQuarantine() {
		return true
	}
	if m.GetPosition() == 0 && m.GetControl() == nil {
		// The caller has an incomplete view. The next one can wait until it is
		// complete.
		return c.registryComplete()
	}
	return c.registry.HasContent(m.GetPosition())
}

// buildResponse builds the response to a watch. It waits for a bounded time for the
// departures before it tells an entry VM about backend servers.
func (c *Control) buildResponse(ctx context.Context, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	after := m.GetPosition()
	a := &dhpb.ControlWatchResponse{Epoch: c.Incarnation, KeepsDepartures: true}
	if m.GetEpoch() != c.Incarnation || after < c.registry.Forgotten() {
		after = 0
	}
	usable := m.GetControl() != nil || c.departures.await(ctx)
	tellsDocument := c.tellsDocument(m) // before the departures are taken
	var err error
	switch {
	case !usable: // the caller asks again
	case after == 0:
		a.View, a.Position, err = c.views.get(c.Timers.Now(), c.registry)
	default:
		a.Backends, a.Position = c.registry.Content(after)
	}
	if err != nil {
		return nil, err
	}
	if usable {
		a.Departures = c.registry.Departures(after)
	}
	if m.GetControl() != nil {
		renewals, leaving := c.registry.Renewals(after, func(source string) bool {
			return source == m.GetControl().GetAddress() || slices.Contains(m.GetHeard(), source)
		})
		a.Renewals, a.Backends = renewals, append(a.Backends, leaving...)
		a.Entries, a.Rates = c.entries.records(c.grantor.needed()), c.entries.directRates()
		a.Limits = c.grantor.records()
		a.Relays = c.entries.directRelays()
		a.LoadList, err = c.entries.directLoads()
		a.Demands, a.SumsDemands = c.entries.directDemands(), true
	} else {
		a.LoadList, err = c.entries.allLoads()
		a.Demands, a.SumsDemands = c.entries.allDemands(), true
		all, before := c.entries.count(m.GetVm())
		a.EntryVms, a.EntryRank = uint32(all), uint32(before)
		if m.GetWantsRelays() {
			a.Relays = c.entries.relaysFor(m.GetVm(), m.GetZone())
		}
		// A control VM that has just started does not know all backend servers.
		a.Complete = usable && after == 0 && c.registryComplete()
		if after == 0 && !a.Complete {
			// The caller requests the full view again until it is complete.
			a.Position = 0
		}
	}
	if err != nil {
		return nil, err
	}
	a.Controls = c.peers.records(m.GetHeard())
	state, operations := c.newerState(m, tellsDocument)
	a.Document, a.Operations, a.Confirmed, a.ConfirmedAge = state.Document, state.Operations, state.Confirmed, state.ConfirmedAge
	a.Grants = c.grantor.handOut(m)
	a.TrialSessions = c.trialSessionRows(operations, m)
	a.Quarantine = c.quarantine.State(m.GetControl() != nil)
	return a, nil
}

// held tells the versions of the durable state that a caller holds.
type held interface {
	GetDocument() uint64
	GetOperations() uint64
}

// newerState returns the durable state that a caller does not hold, and whether a majority
// has confirmed it. Without tellsDocument the caller gets no document. Operations are those
// that the response is based on.
func (c *Control) newerState(m held, tellsDocument bool) (a *dhpb.ControlStateResponse, operations *dhpb.Operations) {
	// The confirmation is read before the state. A majority read that ends in between
	// makes the state newer than the confirmation, and never older.
	age, confirmed := c.confirmedAge()
	document, operations := c.state()
	a = &dhpb.ControlStateResponse{ConfirmedAge: durationpb.New(age)}
	switch newer := document.GetVersion() > m.GetDocument(); {
	case newer && tellsDocument:
		a.Document = document
	case newer && m.GetDocument() > 0:
		confirmed = false // the caller's document is not the newest, and it does not get that
	}
	if operations.GetNumber() > m.GetOperations() {
		a.Operations = operations
	}
	a.Confirmed = confirmed
	return a, operations
}

// stateDepartures is how long a departure is told in State: the time in which entry VMs must
// know it, and some more.
const stateDepartures = 10 * time.Second

// State returns the durable state that an entry VM with tables does not hold, and recent
// departures.
func (c *Control) State(m *dhpb.ControlStateRequest) *dhpb.ControlStateResponse {
	a, _ := c.newerState(m, c.knowsState())
	a.Departures = c.registry.DeparturesSince(c.Timers.Now().Add(-stateDepartures))
	return a
}

// tellsDocument reports whether the caller may get a document. An entry VM serves once it
// has one, and must not do so without the zones that are out, the rollouts and the departures.
func (c *Control) tellsDocument(m *dhpb.ControlWatchRequest) bool {
	return m.GetControl() != nil || c.knowsState()
}

// registryComplete reports whether this VM is in the majority and has been up
// long enough to have received the announcements of all live backend servers,
// directly or through other control VMs.
func (c *Control) registryComplete() bool {
	return c.inMajority() && c.Timers.Now().Sub(c.started) > 2*c.AnnouncePeriod+completeSlack
}

// completeSlack is added to two announcement periods, since one announcement may
// be late.
const completeSlack = time.Second
