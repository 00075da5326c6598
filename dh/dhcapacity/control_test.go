package dhcapacity_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhnode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

// newNode returns a node that knows members and backend servers.
func newNode(t *testing.T, members, backends, answering int) (*dhnode.Node, *dhtimer.Stepped) {
	t.Helper()
	timers := dhtimer.NewStepped()
	group := dhgroup.New(t.Context())
	m := &dhmember.Members{Timers: timers, Group: group, Self: &dhpb.MemberRecord{Name: "vm-self", Address: "10.0.0.1:7000", Zone: "zone-0"}}
	for i := range members {
		name := fmt.Sprintf("vm-%04d", i)
		_, err := m.Receive(t.Context(), &dhpb.GossipMessage{From: name, Members: []*dhpb.MemberRecord{
			{Name: name, Address: "10.0.1." + name + ":7000", Zone: fmt.Sprintf("zone-%d", i%7), Region: "region-0", State: "alive", Incarnation: 1},
		}})
		assert.NilError(t, err)
	}
	settings := dhsetting.Default()
	settings.Limits.Backends = 8192
	revisions := &dhedit.Revisions{Timers: timers}
	store := &dhquorum.Memory{}
	n := &dhnode.Node{
		Settings: settings, Timers: timers, Group: group, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: dhmetric.New(64), Members: m, Registers: store, Revisions: revisions,
		Router: &dhrouter.Router{Timers: timers}, Limiter: &dhlimit.Limiter{Timers: timers},
		Answers:  &dhanswer.Table{Timers: timers, MaxAnswers: 4096, MaxBytes: 1 << 20, Keep: time.Minute},
		Evidence: &dhversion.Evidence{VM: "vm-self", Incarnation: 1},
	}
	placer := &dhplacement.Placer{Timers: timers, Zone: "zone-0", Settings: dhplacement.Defaults(), Seed: 1}
	n.Prepare = append(n.Prepare, func(_ time.Time, s *dhrouter.Snapshot) { placer.Update(s.Backends) })
	n.Init()
	editor := &dhedit.Editor{Registers: store, Revisions: revisions}
	_, err := editor.Edit(t.Context(), dhedit.Edit{ID: "edit-1", Author: "operator", Text: tablesText(19)})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, n.KeepLease(ctx))
	counters(n, answering)
	for i := range backends {
		assert.NilError(t, n.Announce(&dhpb.BackendRecord{
			Id: fmt.Sprintf("llm-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%7),
			Pool: "atelier-llm", State: "ready", Slots: 32, Sequence: 1, Incarnation: 1,
			Versions: []*dhpb.LoadedVersion{{Model: fmt.Sprintf("model-%02d", i%19/2), Version: fmt.Sprintf("v%d", 1+i%19%2)}},
		}))
		if i%1000 == 0 {
			n.ApplyEvents(timers.Now())
		}
	}
	n.ApplyEvents(timers.Now())
	n.Tick(timers.Now())
	return n, timers
}

// counters gives the node answers of each of 19 versions from a number of VMs.
func counters(n *dhnode.Node, vms int) {
	gossip := dhnode.Gossip{Node: n}
	for vm := range vms {
		msg := &dhpb.GossipMessage{From: fmt.Sprintf("vm-%04d", vm)}
		for v := range 19 {
			msg.Counters = append(msg.Counters, &dhpb.VersionCounter{
				Vm: msg.From, Incarnation: 1764800000000, Pool: "atelier-llm", Model: fmt.Sprintf("model-%02d", v/2),
				Version: fmt.Sprintf("v%d", 1+v%2), Answers: 100000, Bad: 1000, RolloutRevision: 1,
			})
		}
		gossip.Merge(msg)
		if vm%1000 == 0 {
			n.ApplyEvents(n.Timers.Now())
		}
	}
	n.ApplyEvents(n.Timers.Now())
}

func ticks(t *testing.T, name string, size, members, backends, answering int) {
	before := heap()
	n, timers := newNode(t, members, backends, answering)
	state := heap() - before
	const count = 100
	var first, last runtime.MemStats
	runtime.ReadMemStats(&first)
	spent := cpu()
	for range count {
		n.Tick(timers.Now())
	}
	spent = cpu() - spent
	runtime.ReadMemStats(&last)
	gossip := gossipBytes(n)
	known := n.Router.Snapshot().Backends.Len()
	fmt.Printf("slope name=%s size=%d cpu_us=%.1f alloc_bytes=%.0f heap_bytes=%.0f gossip_bytes=%d\n", name, size,
		float64(spent.Microseconds())/count, float64(last.TotalAlloc-first.TotalAlloc)/count, state, gossip)
	assert.Equal(t, known, backends)
	runtime.KeepAlive(n)
}

// gossipBytes returns the mean bytes that the control state adds to a message;
// one message in eight carries the counters of all VMs.
func gossipBytes(n *dhnode.Node) int {
	const messages = 8
	sum := 0
	for range messages {
		msg := new(dhpb.GossipMessage)
		dhnode.Gossip{Node: n}.Fill(dhmember.Member{}, msg)
		sum += proto.Size(msg)
	}
	return sum / messages
}

// Guards against a control tick that grows faster than the number of backend
// servers, members or answering VMs. The tick's CPU includes garbage collection.
func TestTickSlopes(t *testing.T) {
	slow(t)
	for _, backends := range []int{64, 512, 4800} {
		t.Run(strconv.Itoa(backends), func(t *testing.T) {
			ticks(t, "tick-backends", backends, 10, backends, 1)
		})
	}
	for _, members := range []int{10, 300, 1700} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			ticks(t, "tick-members", members, members, 57, 1)
		})
	}
	for _, vms := range []int{10, 50, 200} {
		t.Run(strconv.Itoa(vms), func(t *testing.T) {
			ticks(t, "tick-counters", vms, 10, 57, vms)
		})
	}
}

// Guards against headers of revisions that do not fit in the memory of control.
func TestHeaderSlopes(t *testing.T) {
	slow(t)
	tables := tablesText(19)
	r, err := dhedit.FromMessage(&dhpb.Revision{Header: &dhpb.RevisionHeader{Revision: 1, EditId: "edit-1", Author: "operator", ContentHash: make([]byte, 32)}, Tables: tables, Found: true})
	assert.NilError(t, err)
	for _, count := range []int{1000, 4000, 16000} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			before := heap()
			revisions := &dhedit.Revisions{Timers: dhtimer.NewStepped()}
			for i := range count {
				h := dhedit.Header{Revision: uint64(i + 1), EditID: fmt.Sprintf("edit-%024d", i), Author: fmt.Sprintf("operator-%03d", i%100), ContentHash: string(make([]byte, 32))}
				assert.Assert(t, revisions.Apply(&dhedit.Revision{Header: h, Tables: r.Tables}))
			}
			fmt.Printf("slope name=header size=%d heap_bytes=%.0f\n", count, heap()-before)
			runtime.KeepAlive(revisions)
		})
	}
}
