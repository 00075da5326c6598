package dhcontrol

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// departuresPrefix is the prefix of the registers of departures. Each holds those of
	// the backend servers whose ids have one hash, so that writes of different leaves
	// rarely meet and none grows with the number of backend servers.
	departuresPrefix = "departures/"
	departureShards  = 1024
	// maxShardDepartures bounds the departures in one register. The oldest are dropped.
	maxShardDepartures = 20
	// maxDepartures bounds the departures in memory: about 100 bytes each.
	maxDepartures = departureShards * maxShardDepartures
	// departuresWait is how long after its start a control VM that reaches no majority
	// tells entry VMs about no backend server.
	departuresWait = 2 * time.Second
	// departuresHold bounds how long a watch of an entry VM is held while the departures
	// are being read, and departuresRetry is the time between two attempts to read them.
	departuresHold  = 300 * time.Millisecond
	departuresRetry = 20 * time.Millisecond
	// settlePeriod is the time between two attempts to make departures durable that are
	// not yet, and settleBatch the number of departures of one attempt.
	settlePeriod = time.Second
	settleBatch  = 32
)

// departures keeps what this VM has acknowledged about leaves of backend servers: each is
// written to a register before it is acknowledged, and a control VM that starts reads the
// registers before it tells entry VMs about backend servers.
type departures struct {
	control *Control
	once    sync.Once
	known   chan struct{}
}

func newDepartures(c *Control) *departures {
	return &departures{control: c, known: make(chan struct{})}
}

func departureKey(id string) string {
	return fmt.Sprintf("%s%03x", departuresPrefix, xxhash.Sum64String(id)%departureShards)
}

func parseDepartures(value []byte) ([]*dhpb.Departure, error) {
	list := new(dhpb.DepartureList)
	if err := proto.Unmarshal(value, list); err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("register of departures: %w", err))
	}
	return list.GetDepartures(), nil
}

// find returns the departure of a backend server in a list, or nil.
func find(list []*dhpb.Departure, id string) *dhpb.Departure {
	i := slices.IndexFunc(list, func(d *dhpb.Departure) bool { return d.GetId() == id })
	if i < 0 {
		return nil
	}
	return list[i]
}

// withDeparture returns a list to which a departure is added in place of an earlier one.
func withDeparture(list []*dhpb.Departure, d *dhpb.Departure) []*dhpb.Departure {
	list = slices.DeleteFunc(list, func(o *dhpb.Departure) bool { return o.GetId() == d.GetId() })
	if len(list) >= maxShardDepartures {
		oldest := slices.MinFunc(list, func(a, b *dhpb.Departure) int { return cmp.Compare(a.GetLeftAt(), b.GetLeftAt()) })
		list = slices.DeleteFunc(list, func(o *dhpb.Departure) bool { return o == oldest })
	}
	return append(list, d)
}

// settle makes the departure of a backend server durable. An error means that it may not
// survive a restart of all control VMs, so that the leave must not be acknowledged.
func (s *departures) settle(ctx context.Context, id string) error {
	c := s.control
	d, held := c.registry.Departure(id)
	if !held || d.Durable {
		return nil
	}
	durable, err := s.write(ctx, id, d)
	if err != nil {
		c.Metrics.Count("departure", "not-settled")
		c.Log.Warn("departure not settled", slog.String("backend", id), slog.Uint64("incarnation", d.Message.GetIncarnation()), slog.String("error", err.Error()))
		return err
	}
	c.registry.MarkDurable(durable)
	c.Metrics.Count("departure", "settled")
	return nil
}

// write makes a departure durable, unless another VM has done so, and returns the one that
// is.
func (s *departures) write(ctx context.Context, id string, d dhbackend.HeldDeparture) (durable *dhpb.Departure, err error) {
	c, key := s.control, departureKey(id)
	covered := func(value []byte) (list []*dhpb.Departure, ok bool, err error) {
		if list, err = parseDepartures(value); err != nil {
			return nil, false, err
		}
		durable = find(list, id)
		return list, durable != nil && dhbackend.Covers(durable, d.Message.GetIncarnation(), d.Since), nil
	}
	if !d.Own || d.Since < d.Message.GetSequence() {
		// A read needs no sync.
		if value, err := c.proposer.Peek(ctx, key); err == nil {
			if _, ok, err := covered(value); ok || err != nil {
				return durable, err
			}
		}
	}
	_, err = c.proposer.Update(ctx, key, func(old []byte) ([]byte, error) {
		list, ok, err := covered(old)
		if ok || err != nil {
			return old, err
		}
		durable = d.Message
		return proto.Marshal(&dhpb.DepartureList{Departures: withDeparture(list, d.Message)})
	})
	return durable, err
}

// run reads the departures when this VM first reaches a majority and each time it regains
// one, and makes departures durable whose leaves this VM could not acknowledge or has
// learned from control VMs that do not keep them.
func (s *departures) run(ctx context.Context) error {
	c := s.control
	for current := false; ctx.Err() == nil; {
		if !current {
			if current = s.load(ctx) == nil; !current {
				_ = dhtimer.Sleep(ctx, c.Timers, departuresRetry) // the loop ends with ctx
				continue
			}
			s.once.Do(func() {
				close(s.known)
				c.notify() // watches of entry VMs wait for it
			})
		}
		_ = dhtimer.Sleep(ctx, c.Timers, settlePeriod) // the loop ends with ctx
		current = c.inMajority()
		if current {
			s.settleOwn(ctx)
		}
	}
	return nil
}

// load reads the departures from a majority of the voters.
func (s *departures) load(ctx context.Context) error {
	c := s.control
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, quorumTimeout)
	defer cancel()
	entries, err := c.proposer.List(ctx, departuresPrefix)
	if err != nil {
		return err
	}
	count, ended := 0, 0
	for _, e := range entries {
		list, err := parseDepartures(e.Value)
		if err != nil {
			c.Log.Error("departures not read", slog.String("key", e.Key), slog.String("error", err.Error()))
			continue // the others still hold
		}
		for _, d := range list {
			count++
			if c.registry.Restore(d).Content {
				ended++
			}
		}
	}
	c.Log.Info("departures read", slog.Int("count", count), slog.Int("new", ended))
	if ended > 0 {
		c.notify()
	}
	return nil
}

func (s *departures) settleOwn(ctx context.Context) {
	c := s.control
	for _, d := range c.registry.Unsettled(c.Timers.Now().Add(-settlePeriod), settleBatch) {
		if s.settle(ctx, d.GetId()) != nil {
			return // the next period tries again
		}
	}
}

// await waits for a bounded time until this VM may tell entry VMs about backend servers,
// and reports whether it may.
func (s *departures) await(ctx context.Context) bool {
	c := s.control
	select {
	case <-s.known:
		return true
	default:
	}
	rest := departuresWait - c.Timers.Now().Sub(c.started)
	if rest <= 0 {
		return true
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, c.Timers, min(rest, departuresHold))
	defer cancel()
	select {
	case <-s.known:
		return true
	case <-ctx.Done():
		return rest <= departuresHold
	}
}

// mergeDepartures applies what another control VM knows about departures and reports
// whether the content of the registry changed. Those of a control VM that does not keep
// them are made durable here.
func (c *Control) mergeDepartures(reply *dhpb.ControlWatchResponse, records []*dhpb.BackendRecord) bool {
	changed := false
	for _, d := range reply.GetDepartures() {
		changed = c.registry.Depart(d, false).Content || changed
	}
	if reply.GetKeepsDepartures() {
		return changed
	}
	for _, r := range records {
		if r.GetState() == dhbackend.Leaving.String() {
			d := &dhpb.Departure{Id: r.GetId(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence()}
			changed = c.registry.Depart(d, true).Content || changed
		}
	}
	return changed
}
