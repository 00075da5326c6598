package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhwire"
)

const otherKey = "web-shop-key"

// applyTwoAccountTables applies tables with a second account that may ask
// questions and place orders.
func applyTwoAccountTables(t *testing.T, d *daemon) {
	t.Helper()
	text := `{"format": 1,
 "routes": {
  "accounts": {"crew-east": {"key-hashes": ["` + dhtable.HashKey(callerKey).String() + `"]},
   "web-shop": {"key-hashes": ["` + dhtable.HashKey(otherKey).String() + `"]}},
  "routes": {
   "questions": {"pool": "atelier-llm", "repeatable": true, "class": "question", "deadline": "20s", "max-tokens": 100,
    "cascade": ["oak"], "allow": {"crew-east": ["oak/*"], "web-shop": ["oak/*"]}},
   "cut-orders": {"pool": "atelier-app", "repeatable": false, "class": "order", "deadline": "10s", "max-tokens": 50,
    "cascade": ["cut-order"], "allow": {"crew-east": ["cut-order/*"], "web-shop": ["cut-order/*"]}}}},
 "pools": {"zones": {"mrc-a": {}}, "pools": {
  "atelier-llm": {"kind": "engine", "models": {"oak": {"cost-per-1000-tokens": 1,
   "versions": {"v1": {"stage": "stable", "share": 100, "replicas": 1}}}}},
  "atelier-app": {"kind": "service", "models": {"cut-order": {"versions": {"v1": {"stage": "stable", "share": 100, "replicas": 1}}}}}}}}`
	_, err := d.operator.EditTables(t.Context(), &dhpb.EditTablesRequest{EditId: "e-1", Tables: []byte(text), Author: "test"})
	assert.NilError(t, err)
}

// Guards against keys, prompts and answers in the log of a daemon, whether a
// request is answered, refused or not authenticated.
func TestLogHoldsNoSecret(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.flags = []string{"--debug"}
	c.startAll()
	d := c.daemons[0]
	applyTables(t, d)
	c.backend("atelier-app-1", "atelier-app", dhtable.Service, cutOrder)
	waitForPool(t, d, "atelier-app")
	const prompt = "prompt-that-must-stay-private"
	order, err := d.router.Ask(t.Context(), &dhpb.AskRequest{Route: "cut-orders", Prompt: prompt, IdempotencyKey: "order-1", RequestId: "r-1"})
	assert.NilError(t, err)
	_, err = d.router.Ask(t.Context(), &dhpb.AskRequest{Route: "no-such-route", Prompt: prompt})
	assert.Assert(t, err != nil)
	const wrongKey = "wrong-key-that-must-stay-private"
	for _, key := range []string{wrongKey, operatorKey, peerKey} {
		_, err = callerClient(d, key).Ask(t.Context(), &dhpb.AskRequest{Route: "cut-orders", Prompt: prompt})
		assert.Assert(t, err != nil)
	}
	_, err = operatorClient(d, callerKey).Status(t.Context(), &dhpb.StatusRequest{})
	assert.Assert(t, err != nil)
	assert.NilError(t, c.stop(d))
	log := d.log.String()
	assert.Assert(t, strings.Contains(log, "request=r-1"), "the log of the order is missing")
	for _, secret := range []string{
		prompt, order.GetText(), order.GetSessionToken(), callerKey, operatorKey, peerKey, "session-key", wrongKey,
		strings.TrimPrefix(dhtable.HashKey(callerKey).String(), "sha256:"),
	} {
		assert.Assert(t, secret == "" || !strings.Contains(log, secret), "the log holds %q", secret)
	}
}

// Guards against a caller key that can read or cancel the requests of another
// client account, or query the outcome of its orders.
func TestCallerKeyOpensOnlyItsAccount(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.startAll()
	applyTwoAccountTables(t, c.daemons[0])
	c.backend("atelier-llm-1", "atelier-llm", dhtable.Engine, oak)
	c.backend("atelier-app-1", "atelier-app", dhtable.Service, cutOrder)
	for _, d := range c.daemons {
		waitForPool(t, d, "atelier-llm")
		waitForPool(t, d, "atelier-app")
	}
	owner := c.daemons[0].router
	_, err := owner.Ask(t.Context(), &dhpb.AskRequest{Route: "questions", Prompt: "x", RequestId: "q-1", MaxTokens: 5})
	assert.NilError(t, err)
	_, err = owner.Ask(t.Context(), &dhpb.AskRequest{Route: "cut-orders", Prompt: "x", RequestId: "o-1", IdempotencyKey: "order-1"})
	assert.NilError(t, err)
	for _, d := range c.daemons {
		otherCaller := callerClient(d, otherKey)
		stream, err := otherCaller.Resume(t.Context(), &dhpb.ResumeRequest{RequestId: "q-1"})
		assert.NilError(t, err)
		assert.Assert(t, !stream.Receive(), "another account's answer was sent")
		assert.Equal(t, dhcode.Of(dhwire.FromConnect(stream.Err())), dhcode.AnswerNotKept)
		cancelled, err := otherCaller.Cancel(t.Context(), &dhpb.CancelRequest{RequestId: "q-1"})
		assert.NilError(t, err)
		assert.Assert(t, !cancelled.GetFound())
		outcome, err := otherCaller.Outcome(t.Context(), &dhpb.OutcomeRequest{IdempotencyKey: "order-1"})
		assert.NilError(t, err)
		assert.Assert(t, outcome.GetState() != "done" && outcome.GetAnswer() == nil, "the outcome is %v", outcome)
	}
}

// Guards against metrics and profiles that are served without an operator key.
func TestMetricsNeedAnOperatorKey(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startAll()
	d := c.daemons[0]
	get := func(address, path, key string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, nil)
		assert.NilError(t, err)
		dhwire.SetKey(req.Header, key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, get(d.operators, "/debug/vars", operatorKey), http.StatusOK)
	for _, path := range []string{"/debug/vars", "/debug/pprof/"} {
		for _, key := range []string{"", callerKey, peerKey} {
			assert.Equal(t, get(d.operators, path, key), http.StatusUnauthorized, "%s with key %q", path, key)
		}
		assert.Assert(t, get(d.callers, path, operatorKey) != http.StatusOK)
	}
}

// invalidChunkEngine sends chunks of another request and of another attempt, and
// then a chunk after a gap.
type invalidChunkEngine struct {
	dhpbconnect.UnimplementedEngineServiceHandler
}

func (invalidChunkEngine) Generate(_ context.Context, req *dhpb.GenerateRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	for _, chunk := range []*dhpb.Chunk{
		{RequestId: "another-request", Attempt: req.GetAttempt(), Text: "foreign", Tokens: 1, Last: true},
		{RequestId: req.GetRequestId(), Attempt: req.GetAttempt() + 7, Text: "late", Tokens: 1, Last: true},
		{RequestId: req.GetRequestId(), Attempt: req.GetAttempt(), Offset: 1000, Text: "gap", Tokens: 1, Last: true},
	} {
		if err := stream.Send(chunk); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a faulty backend server whose chunks name another request or
// attempt, or leave a gap, and still reach a caller as the answer to its request.
func TestLyingBackendGivesNoAnswer(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.startAll()
	d := c.daemons[0]
	applyTwoAccountTables(t, d)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewEngineServiceHandler(invalidChunkEngine{}))
	server := dhengine.NewHTTPServer(mux)
	c.group.Go(func(context.Context) error { _ = server.Serve(listener); return nil })
	t.Cleanup(func() { _ = server.Close() })
	_, err = announceClient(d, peerKey).Announce(t.Context(), &dhpb.AnnounceRequest{Backend: &dhpb.BackendRecord{
		Id: "liar", Address: listener.Addr().String(), Zone: "mrc-a", Pool: "atelier-llm", State: "ready", Slots: 4,
		Sequence: 1, Incarnation: 1, Versions: []*dhpb.LoadedVersion{{Model: "oak", Version: "v1"}},
	}})
	assert.NilError(t, err)
	waitForPool(t, d, "atelier-llm")
	got := stream(t.Context(), d, &dhpb.AskRequest{Route: "questions", Prompt: "x", MaxTokens: 5, RequestId: "r-1"})
	assert.Assert(t, got.err != nil && !got.last && got.text == "", "%+v", got)
	bills, err := d.operator.ExportBills(t.Context(), &dhpb.ExportBillsRequest{Limit: 10})
	assert.NilError(t, err)
	assert.Equal(t, len(bills.GetBills()), 0)
}
