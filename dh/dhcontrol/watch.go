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

// maxWatchWait bounds how long a watch is kept waiting.
const maxWatchWait = 2 * time.Second

const (
	// entryPause and peerBatch space the answers that tell an entry VM or a
	// control VM of news: what changes meanwhile is told by one answer. Without
	// them, 240 backend servers that started together had each control VM give
	// 49 entry VMs an answer for each of them, and majority reads took over a
	// second. The pause of control VMs is shorter since leaves wait for them.
	entryPause = 150 * time.Millisecond
	peerBatch  = 20 * time.Millisecond
	// entrySpread is the time over which the answers to entry VMs are spread
	// after a change, so that control VMs learn of it first.
	entrySpread = 100 * time.Millisecond
)

// Watch implements the twirp ControlService: it answers with what changed since the
// position that the caller knows, soon when there is anything that the
// caller must act on, else after the time that it wants to wait.
func (c *Control) Watch(ctx context.Context, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	if m.GetVm() == "" {
		return nil, dhcode.Errorf(dhcode.RequestMalformed, "a watch needs the name of the VM")
	}
	if r := m.GetControl(); r != nil {
		c.peers.heard(r)
	} else {
		c.entries.report(m.GetVm(), m.GetIncarnation(), m.GetReport())
	}
	if m.GetEpoch() != c.Incarnation {
		return c.answer(m)
	}
	c.peers.acknowledge(m.GetVm(), m.GetPosition())
	began := c.Timers.Now()
	wait, cancel := dhtimer.WithTimeout(ctx, c.Timers, min(m.GetWait().AsDuration(), maxWatchWait))
	defer cancel()
	for {
		changed := c.onChange()
		if c.hasNews(m) {
			_ = dhtimer.Sleep(wait, c.Timers, c.newsPause(m, began)) // at the end of the wait there is an answer anyway
			return c.answer(m)
		}
		select {
		case <-changed:
		case <-wait.Done():
			return c.answer(m)
		}
	}
}

// newsPause returns the time after which news is told to a caller whose watch
// began at a time.
func (c *Control) newsPause(m *dhpb.ControlWatchRequest, began time.Time) time.Duration {
	rest := began.Sub(c.Timers.Now())
	if m.GetControl() != nil {
		return max(rest+peerBatch, 0)
	}
	place := float64(xxhash.Sum64String(m.GetVm())>>11) / (1 << 53)
	return max(rest+entryPause, time.Duration(place*float64(entrySpread)))
}

// hasNews reports whether the caller must learn something soon.
func (c *Control) hasNews(m *dhpb.ControlWatchRequest) bool {
	document, operations := c.state()
	if document.GetVersion() > m.GetDocument() || operations.GetNumber() > m.GetOperations() {
		return true
	}
	if m.GetPosition() == 0 && m.GetControl() == nil {
		// The caller has an incomplete answer; the next one can wait.
		return c.settled()
	}
	return c.registry.HasContent(m.GetPosition())
}

// answer makes the answer to a watch.
func (c *Control) answer(m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	after := m.GetPosition()
	a := &dhpb.ControlWatchResponse{Epoch: c.Incarnation}
	if m.GetEpoch() != c.Incarnation {
		after = 0
	}
	var err error
	if after == 0 {
		a.View, a.Position, err = c.views.get(c.Timers.Now(), c.registry)
	} else {
		a.Backends, a.Position = c.registry.Content(after)
	}
	if err != nil {
		return nil, err
	}
	if m.GetControl() != nil {
		a.Renewals = c.registry.Renewals(after, func(source string) bool {
			return source == m.GetControl().GetAddress() || slices.Contains(m.GetHeard(), source)
		})
		a.Entries, a.Rates = c.entries.records(), c.entries.directRates()
		a.LoadList, err = c.entries.directLoads()
	} else {
		a.LoadList, err = c.entries.allLoads()
		a.EntryVms = uint32(c.entries.count())
		// A control VM that has just started does not know all yet.
		a.Complete = after == 0 && c.settled()
		if after == 0 && !a.Complete {
			// The caller asks for all again until the answer is complete.
			a.Position = 0
		}
	}
	if err != nil {
		return nil, err
	}
	a.Controls = c.peers.records(m.GetHeard())
	document, operations := c.state()
	if document.GetVersion() > m.GetDocument() {
		a.Document = document
	}
	if operations.GetNumber() > m.GetOperations() {
		a.Operations = operations
	}
	age, confirmed := c.confirmedAge()
	a.Confirmed, a.ConfirmedAge = confirmed, durationpb.New(age)
	return a, nil
}

// settled reports whether every living backend server has been heard since
// the start, directly or through other control VMs.
func (c *Control) settled() bool {
	return c.inMajority() && c.Timers.Now().Sub(c.started) > 2*c.AnnouncePeriod+settleSlack
}

// settleSlack is added to two periods of announcements, since one may be late.
const settleSlack = time.Second
