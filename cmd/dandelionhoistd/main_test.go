package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhwire"
)

var (
	pine     = dhtable.Version{Model: "pine", Name: "v1"}
	oak      = dhtable.Version{Model: "oak", Name: "v1"}
	cutOrder = dhtable.Version{Model: "cut-order", Name: "v1"}
)

func applyTables(t *testing.T, d *daemon) {
	t.Helper()
	text, err := os.ReadFile("../../dh/dhtable/testdata/tringles.json")
	assert.NilError(t, err)
	out, err := d.operator.EditTables(t.Context(), &dhpb.EditTablesRequest{EditId: "e-1", Tables: text, Author: "test"})
	assert.NilError(t, err)
	assert.Equal(t, out.GetRevision(), uint64(1))
}

// waitForPool returns when a VM has a pool's backend server in its snapshot.
func waitForPool(t testing.TB, d *daemon, pool string) {
	t.Helper()
	for t.Context().Err() == nil {
		status, err := d.operator.Status(t.Context(), &dhpb.StatusRequest{})
		assert.NilError(t, err)
		for _, p := range status.GetPools() {
			if p.GetPool() == pool {
				return
			}
		}
	}
}

// streamResult is the result of one stream.
type streamResult struct {
	text string
	last bool
	err  error
}

func stream(ctx context.Context, d *daemon, req *dhpb.AskRequest) streamResult {
	var got streamResult
	s, err := d.router.Stream(ctx, req)
	if err != nil {
		return streamResult{err: err}
	}
	for s.Receive() {
		if s.Msg().GetOffset() != int64(len(got.text)) {
			got.err = dhcode.Errorf(dhcode.StreamBroken, "offset %d after %d bytes", s.Msg().GetOffset(), len(got.text))
			return got
		}
		got.text += s.Msg().GetText()
		got.last = s.Msg().GetLast()
	}
	got.err = s.Err()
	return got
}

// Guards against a planned stop that interrupts requests (R11): the streams that
// run on the VM when it gets SIGTERM must all be completed.
func TestStopUnderLoad(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.startAll()
	applyTables(t, c.daemons[0])
	c.backend("atelier-llm-1", "atelier-llm", dhtable.Engine, pine, oak)
	const prompt = "Is matte brass in stock?"
	waitForPool(t, c.daemons[1], "atelier-llm")
	const streams = 20
	results := make([]streamResult, streams)
	running := dhgroup.New(t.Context())
	for i := range results {
		running.Go(func(ctx context.Context) error {
			results[i] = stream(ctx, c.daemons[1], &dhpb.AskRequest{Route: "finish-questions", Prompt: prompt, MaxTokens: 60})
			return nil
		})
	}
	for c.models["atelier-llm-1"].Record().GetRunning() == 0 {
		_, err := c.daemons[1].operator.Status(t.Context(), &dhpb.StatusRequest{})
		assert.NilError(t, err)
	}
	assert.NilError(t, c.stop(c.daemons[1]))
	assert.NilError(t, running.Wait())
	for _, r := range results {
		assert.NilError(t, r.err)
		assert.Assert(t, r.last)
		assert.Equal(t, r.text, dhengine.Answer(prompt, "oak", "v1", 60))
	}
	assert.NilError(t, c.stop(c.daemons[0]))
}

// Guards against an order that runs twice (R9) or is billed twice (R4) when it
// is resent to other VMs, even after the first VM has been killed.
func TestOrderRunsOnce(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startAll()
	applyTables(t, c.daemons[0])
	service := c.backend("atelier-app-1", "atelier-app", dhtable.Service, cutOrder)
	req := &dhpb.AskRequest{Route: "cut-orders", Prompt: "2 poles of 140 cm", IdempotencyKey: "order-1"}
	for _, d := range c.daemons {
		waitForPool(t, d, "atelier-app")
	}
	first, err := c.daemons[0].router.Ask(t.Context(), req)
	assert.NilError(t, err)
	assert.NilError(t, c.daemons[0].process.Process.Kill())
	waitClosed(t, c.daemons[0].exited)
	for _, d := range c.daemons[1:] {
		again, err := d.router.Ask(t.Context(), &dhpb.AskRequest{Route: req.Route, Prompt: req.Prompt, IdempotencyKey: "order-1"})
		assert.NilError(t, err)
		assert.Equal(t, again.GetText(), first.GetText())
		assert.Assert(t, again.GetReplayed())
	}
	assert.Equal(t, service.Executions(first.GetRequestId()), 1)
	bills, err := c.daemons[1].operator.ExportBills(t.Context(), &dhpb.ExportBillsRequest{Limit: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(bills.GetBills()), 1)
}

// Guards against a resent order that the caller takes for a second order: the VM
// that ran or is running the order must mark the answer to a resend as replayed.
func TestResentOrderIsMarked(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startAll()
	applyTables(t, c.daemons[0])
	service := c.backend("atelier-app-1", "atelier-app", dhtable.Service, cutOrder)
	waitForPool(t, c.daemons[0], "atelier-app")
	const sends = 8
	replayed := make([]bool, sends)
	group := dhgroup.New(t.Context())
	for i := range replayed {
		group.Go(func(ctx context.Context) error {
			req := &dhpb.AskRequest{Route: "cut-orders", Prompt: "2 poles of 140 cm", IdempotencyKey: "order-1", RequestId: "r-1"}
			if i%2 == 0 {
				got, err := c.daemons[0].router.Ask(ctx, req)
				replayed[i] = got.GetReplayed()
				return err
			}
			stream, err := c.daemons[0].router.Stream(ctx, req)
			if err != nil {
				return err
			}
			for stream.Receive() {
				replayed[i] = stream.Msg().GetReplayed()
			}
			return stream.Err()
		})
	}
	assert.NilError(t, group.Wait())
	unmarked := 0
	for _, r := range replayed {
		if !r {
			unmarked++
		}
	}
	assert.Equal(t, unmarked, 1, "answers not marked as replayed")
	assert.Equal(t, service.Executions("r-1"), 1)
}

// Guards against a status that reports every VM with a disk as a voter, which
// makes an operator count a majority that does not exist.
func TestStatusTellsVotersFromSpares(t *testing.T) {
	c := newCluster(t, 2, 1)
	spare := c.daemons[1]
	text, err := os.ReadFile(spare.settings)
	assert.NilError(t, err)
	changed := strings.Replace(string(text), `"state": {`, `"state": {"folder": "`+t.TempDir()+`", `, 1)
	assert.NilError(t, os.WriteFile(spare.settings, []byte(changed), 0o600))
	c.startAll()
	applyTables(t, c.daemons[0])
	want := map[string]string{"entry-0": "voter", "entry-1": "spare"}
	for _, d := range c.daemons {
		got := make(map[string]string)
		for t.Context().Err() == nil && !maps.Equal(got, want) {
			status, err := d.operator.Status(t.Context(), &dhpb.StatusRequest{})
			assert.NilError(t, err)
			clear(got)
			for _, vm := range status.GetVms() {
				got[vm.GetName()] = vm.GetRole()
			}
		}
	}
}

// Guards against a restarted VM that passes the load balancer's health check
// before it knows any backend server, and refuses requests that other VMs could
// answer.
func TestHealthWaitsForBackends(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.startAll()
	applyTables(t, c.daemons[0])
	c.backend("atelier-llm-1", "atelier-llm", dhtable.Engine, oak)
	c.backend("atelier-app-1", "atelier-app", dhtable.Service, cutOrder)
	waitForPool(t, c.daemons[1], "atelier-app")
	assert.NilError(t, c.stop(c.daemons[1]))
	d := c.start(1)
	for t.Context().Err() == nil {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.callers+"/health", nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		assert.NilError(t, resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			break
		}
	}
	_, err := d.router.Ask(t.Context(), &dhpb.AskRequest{Route: "finish-questions", Prompt: "Is matte brass in stock?", MaxTokens: 5})
	assert.NilError(t, err)
}

// Guards against a key that is accepted by a service it is not valid for.
func TestKeysOpenOnlyTheirService(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startAll()
	applyTables(t, c.daemons[0])
	d := c.daemons[0]
	_, err := d.router.Ask(t.Context(), &dhpb.AskRequest{Route: "cut-lists", Prompt: "x", Deadline: nil})
	assert.Assert(t, dhcode.Of(dhwire.FromConnect(err)) != dhcode.UnknownKey)
	for _, key := range []string{callerKey, peerKey, ""} {
		_, err := operatorClient(d, key).GetTables(t.Context(), &dhpb.GetTablesRequest{})
		assert.Equal(t, dhcode.Of(dhwire.FromConnect(err)), dhcode.NotAuthenticated)
	}
	for _, key := range []string{operatorKey, peerKey, ""} {
		_, err := callerClient(d, key).Ask(t.Context(), &dhpb.AskRequest{Route: "cut-lists", Prompt: "x"})
		assert.Equal(t, dhcode.Of(dhwire.FromConnect(err)), dhcode.UnknownKey)
	}
	for _, key := range []string{callerKey, operatorKey, ""} {
		_, err := announceClient(d, key).Announce(t.Context(), &dhpb.AnnounceRequest{})
		assert.Equal(t, dhcode.Of(dhwire.FromConnect(err)), dhcode.NotAuthenticated)
	}
}

// Guards against a cascade that keeps using the largest model although ratings
// show that a cheaper one meets the target, and against an escalated answer that
// is billed or returned as two.
func TestCascadeLearnsFromRatings(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.withRatings(map[string]float64{"pine": 0.95, "oak": 0.95})
	c.startAll()
	d := c.daemons[0]
	applyTables(t, d)
	c.backend("atelier-llm-1", "atelier-llm", dhtable.Engine, pine, oak)
	waitForPool(t, d, "atelier-llm")
	const maxRequests, wantInRow = 3000, 20
	asked, inRow := 0, 0
	for ; asked < maxRequests && inRow < wantInRow; asked++ {
		got, err := d.router.Ask(t.Context(), &dhpb.AskRequest{
			Route: "finish-questions", Prompt: fmt.Sprintf("Is matte brass %d in stock?", asked), MaxTokens: 1,
		})
		if dhcode.Of(dhwire.FromConnect(err)) == dhcode.RateLimited {
			asked--
			continue
		}
		assert.NilError(t, err)
		inRow++
		if got.GetModel() != "pine" {
			inRow = 0
		}
	}
	assert.Assert(t, asked < maxRequests, "the cheaper model did not answer %d requests in a row", wantInRow)
}
