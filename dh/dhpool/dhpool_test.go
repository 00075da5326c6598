package dhpool_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpool"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	v1 = dhtable.Version{Model: "oak", Name: "v1"}
	v2 = dhtable.Version{Model: "oak", Name: "v2"}
)

func tables(t *testing.T, versions string) *dhtable.Tables {
	t.Helper()
	tables, err := dhtable.Parse("t", []byte(`{"format": 1, "pools": {"zones": {"mrc-a": {}, "mrc-b": {"out": true}, "mrc-c": {}},
		"pools": {"p": {"kind": "engine", "models": {"oak": {"versions": {`+versions+`}}}}}}}`))
	assert.NilError(t, err)
	return tables
}

func backend(id int, zone string, running int, versions ...dhtable.Version) *dhbackend.Backend {
	return &dhbackend.Backend{
		ID: fmt.Sprintf("b%d", id), Address: fmt.Sprintf("a%d", id), Pool: "p", Zone: zone, State: dhbackend.Ready,
		Versions: versions, Slots: 10, Running: running, ChecksFencing: true,
	}
}

func formatOrders(orders []dhpool.Order) string {
	var lines []string
	for _, o := range orders {
		lines = append(lines, fmt.Sprintf("%s %s %s", o.Kind, o.Version, o.Backend.ID))
	}
	return strings.Join(lines, "; ")
}

// Guards against loads in a zone that is taken out, on full backend servers or in the
// wrong order, and against unloads that remove slots that the traffic needs.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name, versions string
		backends       []*dhbackend.Backend
		want           string
	}{
		{
			"most needed first, zones spread", `"v1": {"stage": "stable", "share": 95, "replicas": 3}, "v2": {"stage": "rollout", "share": 5, "replicas": 1}`,
			[]*dhbackend.Backend{backend(1, "mrc-a", 0, v1), backend(2, "mrc-a", 0), backend(3, "mrc-b", 0), backend(4, "mrc-c", 0)},
			"load oak/v2 b1; load oak/v1 b4; load oak/v1 b2",
		},
		{
			"surplus is dropped", `"v1": {"stage": "stable", "share": 100, "replicas": 1}`,
			[]*dhbackend.Backend{backend(1, "mrc-a", 2, v1), backend(2, "mrc-c", 0, v1)},
			"unload oak/v1 b2",
		},
		{
			"surplus under load stays", `"v1": {"stage": "stable", "share": 100, "replicas": 1}`,
			[]*dhbackend.Backend{backend(1, "mrc-a", 5, v1), backend(2, "mrc-c", 4, v1)},
			"",
		},
		{
			"withdrawn and idle is dropped", `"v1": {"stage": "withdrawn"}`,
			[]*dhbackend.Backend{backend(1, "mrc-a", 5, v1), backend(2, "mrc-c", 0, v1)},
			"unload oak/v1 b2",
		},
		{
			"draining stays", `"v1": {"stage": "draining", "replicas": 1}, "v2": {"stage": "stable", "share": 100, "replicas": 0}`,
			[]*dhbackend.Backend{backend(1, "mrc-a", 0, v1), backend(2, "mrc-c", 0, v1)},
			"",
		},
	} {
		got := formatOrders(dhpool.Plan(tables(t, c.versions), "p", c.backends, 2))
		assert.Equal(t, got, c.want, c.name)
	}
}

type orders struct{ sent []string }

func (o *orders) Order(_ context.Context, address string, r *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	o.sent = append(o.sent, fmt.Sprintf("%s %s/%s %s %d", r.GetKind(), r.GetModel(), r.GetVersion(), address, r.GetFencingToken()))
	return &dhpb.OrderResponse{Accepted: true}, nil
}

type lease struct{ held, unfenced bool }

func (l *lease) MayOrder(_ time.Time, checks bool) (uint64, bool) {
	return 7, l.held && (checks || l.unfenced)
}

// Guards against orders that are sent without the lease, twice, faster than the
// weight store permits, or too early to a backend server that ignores the fencing
// token.
func TestManager(t *testing.T) {
	timers := dhtimer.NewStepped()
	sent, held := &orders{}, &lease{}
	m := &dhpool.Manager{
		Timers: timers, Log: slog.New(slog.DiscardHandler), Orders: sent, Store: &dhpool.Rate{Period: 10 * time.Second},
		Lease: func(string) dhpool.Lease { return held },
	}
	table := dhbackend.Table{Lease: time.Hour, MaxBackends: 9}
	unchecked := backend(1, "mrc-a", 0)
	unchecked.ChecksFencing = false
	for _, b := range []*dhbackend.Backend{unchecked, backend(2, "mrc-c", 0)} {
		b.Seen = timers.Now()
		assert.NilError(t, table.Announce(b))
	}
	tick := func() {
		m.Tick(context.Background(), tables(t, `"v1": {"stage": "stable", "share": 100, "replicas": 2}`), table.View(timers.Now()))
	}
	tick()
	assert.Equal(t, len(sent.sent), 0)
	held.held = true
	tick()
	tick()
	assert.DeepEqual(t, sent.sent, []string{"load oak/v1 a2 7"})
	held.unfenced = true
	tick()
	assert.Equal(t, len(sent.sent), 1, "the weight store permits one load in 10 s")
	timers.Step(11 * time.Second)
	tick()
	assert.DeepEqual(t, sent.sent, []string{"load oak/v1 a2 7", "load oak/v1 a1 7"})
}
