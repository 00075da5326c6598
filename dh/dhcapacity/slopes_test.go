package dhcapacity_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhclaim"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhedit"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhledger"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

var slopes = flag.Bool("slopes", false, "measure at all sizes and print the slopes")

func slow(t *testing.T) {
	if !*slopes {
		t.Skip("prints figures; run with -slopes")
	}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use once goroutines of earlier tests have ended
// and no collection frees more.
func heap() float64 {
	var m runtime.MemStats
	for last := uint64(0); ; last = m.HeapAlloc {
		time.Sleep(20 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&m)
		if last > 0 && m.HeapAlloc+4096 >= last {
			return float64(m.HeapAlloc)
		}
	}
}

// zipped returns the size of data after gzip.
func zipped(t *testing.T, data []byte) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Len()
}

// meter calls voters in this process and counts messages and their bytes, with answers.
type meter struct {
	voters          map[string]*dhquorum.Voter
	messages, bytes atomic.Int64
}

func (m *meter) count(messages ...proto.Message) {
	for _, msg := range messages {
		m.messages.Add(1)
		m.bytes.Add(int64(proto.Size(msg)))
	}
}

func (m *meter) Prepare(ctx context.Context, to string, r *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	a, err := m.voters[to].Prepare(ctx, r)
	m.count(r, a)
	return a, err
}

func (m *meter) Accept(ctx context.Context, to string, r *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	a, err := m.voters[to].Accept(ctx, r)
	m.count(r, a)
	return a, err
}

func (m *meter) ReadState(ctx context.Context, to string, r *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	a, err := m.voters[to].ReadState(ctx, r)
	m.count(r, a)
	return a, err
}

// quorum is voters on disks in memory with a proposer.
type quorum struct {
	*dhquorum.Proposer
	*meter
	syncs *atomic.Int64
}

func newQuorum(t *testing.T, voters int) quorum {
	q := quorum{meter: &meter{voters: make(map[string]*dhquorum.Voter)}, syncs: new(atomic.Int64)}
	group := dhgroup.New(t.Context())
	t.Cleanup(func() {
		group.Stop()
		assert.NilError(t, group.Wait())
	})
	var members []dhquorum.Member
	for i := range voters {
		name := fmt.Sprintf("v%d", i)
		disk := &dhdisk.Memory{}
		if i == 0 {
			disk.BeforeSync = func() { q.syncs.Add(1) }
		}
		v, err := dhquorum.OpenVoter(disk, name)
		assert.NilError(t, err)
		group.Go(v.Run)
		q.voters[name] = v
		members = append(members, dhquorum.Member{Address: name})
	}
	q.Proposer = &dhquorum.Proposer{Name: "vm-0001", Transport: q.meter, Timers: dhtimer.NewSystem()}
	_, err := q.Bootstrap(t.Context(), members)
	assert.NilError(t, err)
	_, err = q.Read(t.Context(), "none") // installs the set
	assert.NilError(t, err)
	return q
}

// cost prints what count runs of f cost, f being called by concurrent goroutines.
func (q quorum) cost(t *testing.T, name string, size, count, concurrent int, f func(ctx context.Context, i int) error) {
	t.Helper()
	messages, bytes, syncs, spent := q.messages.Load(), q.bytes.Load(), q.syncs.Load(), cpu()
	group := dhgroup.New(t.Context())
	var next, failed atomic.Int64
	for range concurrent {
		group.Go(func(ctx context.Context) error {
			for i := int(next.Add(1)); i <= count; i = int(next.Add(1)) {
				if f(ctx, i) != nil {
					failed.Add(1)
				}
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	spent = cpu() - spent
	time.Sleep(10 * time.Millisecond) // lets messages to the slower voters end
	per := func(n int64) float64 { return float64(n) / float64(count) }
	fmt.Printf("slope name=%s size=%d bytes=%.1f messages=%.2f cpu_us=%.1f fsyncs_per_voter=%.3f failed=%d\n", name, size,
		per(q.bytes.Load()-bytes), per(q.messages.Load()-messages), per(spent.Microseconds()), per(q.syncs.Load()-syncs), failed.Load())
	assert.Equal(t, failed.Load(), int64(0))
}

// Guards against claims whose messages, syncs or processor time at the voters
// grow beyond the page of capacities. CPU is that of the proposer and all voters.
func TestClaimSlopes(t *testing.T) {
	slow(t)
	for _, voters := range []int{1, 3, 5} {
		t.Run(strconv.Itoa(voters), func(t *testing.T) {
			q := newQuorum(t, voters)
			claims := &dhclaim.Claims{Registers: q, Timers: dhtimer.NewSystem(), Owner: "vm-0001.8c1f"}
			claim := func(ctx context.Context, i int) error {
				id := fmt.Sprintf("request-%08d", i)
				r := dhclaim.Request{Account: "crew-east", Key: "key-" + id, ID: id, Hash: [32]byte{1}}
				c, _, err := claims.Take(ctx, r)
				if err == nil {
					err = claims.Dispatch(ctx, c)
				}
				if err == nil {
					err = claims.Finish(ctx, c, dhcode.OK, &dhpb.AskResponse{RequestId: id, Text: strings.Repeat("cut list ", 22)})
				}
				return err
			}
			before := heap()
			q.cost(t, "claim", voters, 5000, 100, claim)
			fmt.Printf("slope name=claim-memory size=%d heap_bytes_per_claim_all_voters=%.0f\n", voters, (heap()-before)/5000)
			runtime.KeepAlive(q)
		})
	}
}

// Guards against questions of the tables lease that are synced or grow.
func TestLeaseSlopes(t *testing.T) {
	slow(t)
	for _, voters := range []int{1, 3, 5} {
		t.Run(strconv.Itoa(voters), func(t *testing.T) {
			q := newQuorum(t, voters)
			revisions := &dhedit.Revisions{Timers: dhtimer.NewSystem()}
			editor := &dhedit.Editor{Registers: q, Revisions: revisions}
			_, err := editor.Edit(t.Context(), dhedit.Edit{ID: "edit-1", Author: "operator", Text: tablesText(19)})
			assert.NilError(t, err)
			q.cost(t, "lease-question", voters, 5000, 100, func(ctx context.Context, _ int) error {
				_, err := dhedit.CatchUp(ctx, q, revisions)
				return err
			})
		})
	}
}

// tablesText returns tables with a number of versions, one model for each
// two, and 20 client accounts and 20 routes.
func tablesText(versions int) []byte {
	const accounts, routes = 20, 20
	var b strings.Builder
	b.WriteString(`{"format": 1, "routes": {"accounts": {` + "\n")
	for i := range accounts {
		fmt.Fprintf(&b, `"account-%02d": {"key-hashes": ["sha256:%064x"], "weight": 4, "requests-per-second": 500, "burst": 1000, "concurrency": 640}%s`+"\n", i, i+1, comma(i, accounts))
	}
	models := (versions + 1) / 2
	b.WriteString(`}, "routes": {` + "\n")
	for i := range routes {
		fmt.Fprintf(&b, `"route-%02d": {"pool": "atelier-llm", "repeatable": true, "class": "plan-%02d", "priority": 5, "deadline": "20s", "max-tokens": 800, "quality-target": 0.9, "cascade": ["model-%02d"], "allow": {`, i, i, i%models)
		for a := range accounts {
			fmt.Fprintf(&b, `"account-%02d": ["model-%02d/*"]%s`, a, i%models, comma(a, accounts))
		}
		fmt.Fprintf(&b, `}}%s`+"\n", comma(i, routes))
	}
	b.WriteString(`}}, "pools": {"zones": {`)
	for i := range 7 {
		fmt.Fprintf(&b, `"zone-%d": {"region": "region-%d"}%s`, i, i%2, comma(i, 7))
	}
	b.WriteString(`}, "pools": {"atelier-llm": {"kind": "engine", "models": {` + "\n")
	for i := range models {
		fmt.Fprintf(&b, `"model-%02d": {"cost-per-1000-tokens": 10, "on-hold": "new-sessions", "versions": {`, i)
		if 2*i+1 < versions {
			b.WriteString(`"v1": {"stage": "stable", "share": 95, "replicas": 240}, "v2": {"stage": "rollout", "share": 5, "replicas": 13}`)
		} else {
			b.WriteString(`"v1": {"stage": "stable", "share": 100, "replicas": 253}`)
		}
		fmt.Fprintf(&b, `}}%s`+"\n", comma(i, models))
	}
	b.WriteString("}}}}}\n")
	return []byte(b.String())
}

func comma(i, count int) string {
	if i == count-1 {
		return ""
	}
	return ", "
}

// Guards against edits whose cost at the voters and at each VM grows faster
// than the tables. CPU of an edit is that of the proposer and five voters.
func TestEditSlopes(t *testing.T) {
	slow(t)
	for _, versions := range []int{5, 19, 76} {
		t.Run(strconv.Itoa(versions), func(t *testing.T) {
			text := tablesText(versions)
			q := newQuorum(t, 5)
			revisions := &dhedit.Revisions{Timers: dhtimer.NewSystem()}
			editor := &dhedit.Editor{Registers: q, Revisions: revisions}
			base := uint64(0)
			q.cost(t, "edit", versions, 100, 1, func(ctx context.Context, i int) error {
				var err error
				base, err = editor.Edit(ctx, dhedit.Edit{ID: fmt.Sprintf("edit-%d", i), Base: base, Author: "operator", Text: text})
				return err
			})
			q.cost(t, "catch-up", versions, 100, 1, func(ctx context.Context, _ int) error {
				behind := &dhedit.Revisions{Timers: dhtimer.NewSystem()}
				previous, err := dhedit.FromMessage(revisions.Fetch(base - 1))
				if err != nil {
					return err
				}
				behind.Apply(previous)
				_, err = dhedit.CatchUp(ctx, q, behind)
				return err
			})
			m := revisions.Fetch(0)
			const count = 100
			spent, before := cpu(), heap()
			var kept []*dhedit.Revision
			for range count {
				r, err := dhedit.FromMessage(m)
				assert.NilError(t, err)
				kept = append(kept, r)
			}
			spent = cpu() - spent
			fmt.Printf("slope name=fetch size=%d text_bytes=%d bytes=%d zipped_bytes=%d cpu_us=%.1f heap_bytes=%.0f\n", versions, len(text), proto.Size(m), zipped(t, text),
				float64(spent.Microseconds())/count, (heap()-before)/count)
			runtime.KeepAlive(kept)
		})
	}
}

// discard is a journal that keeps nothing but counts the bytes.
type discard struct{ bytes *int }

func (d discard) Append(record []byte, apply func()) error {
	*d.bytes += len(record)
	apply()
	return nil
}

// Guards against bills that need more memory, bytes or processor time at a
// voter than the page of capacities says.
func TestBillSlopes(t *testing.T) {
	slow(t)
	for _, count := range []int{10_000, 50_000, 200_000} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			const batch = 50
			message, journal := 0, 0
			before := heap()
			s := &dhledger.Store{VoterID: "v0", Journal: discard{&journal}}
			spent := time.Duration(0)
			for i := 0; i < count; i += batch {
				r := &dhpb.PutBillsRequest{}
				for n := i; n < i+batch; n++ {
					r.Bills = append(r.Bills, &dhpb.Bill{
						RequestId: fmt.Sprintf("0d7c5a3e-%08d-4b", n), Account: "account-07", Route: "route-07", Model: "model-07", Version: "v1",
						Tokens: 338, Cost: 3.38, Revision: 123456,
					})
				}
				data, err := proto.Marshal(r)
				assert.NilError(t, err)
				message += len(data)
				start := cpu()
				var got dhpb.PutBillsRequest
				assert.NilError(t, proto.Unmarshal(data, &got))
				assert.NilError(t, s.Put(got.Bills))
				spent += cpu() - start
			}
			fmt.Printf("slope name=bill size=%d message_bytes=%.1f journal_bytes=%.1f heap_bytes=%.0f cpu_us=%.2f\n", count,
				float64(message)/float64(count), float64(journal)/float64(count), (heap()-before)/float64(count),
				float64(spent.Microseconds())/float64(count))
			runtime.KeepAlive(s)
		})
	}
}
