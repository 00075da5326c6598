package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

const (
	operatorKey   = "operator-key"
	firstRevision = 41
)

// fakeDeployment holds the state that the entry VMs of a deployment share.
type fakeDeployment struct {
	mu        sync.Mutex
	revisions []*dhpb.EditTablesRequest
	// laggingStatuses is the number of next statuses in which entry-mrc-b-1 is
	// behind the newest revision.
	laggingStatuses int
	bills           []*dhpb.Bill
}

// fakeVM is the operator service of one entry VM.
type fakeVM struct {
	dhpbconnect.UnimplementedOperatorServiceHandler
	deployment *fakeDeployment
	// editErrors are the results of the next edits, one each; nil accepts the edit.
	editErrors []error
	// lostAnswers is the number of next edits whose answers are dropped.
	lostAnswers int
	// clock, if set, is advanced by callTimeout at each edit, which then gets
	// no answer.
	clock *dhtimer.Stepped
	// watchBreaks ends each watch after one status.
	watchBreaks bool
	editIDs     []string
}

func newFakeDeployment(t *testing.T) *fakeDeployment {
	t.Helper()
	text, err := os.ReadFile("../../dh/dhtable/testdata/tringles.json")
	assert.NilError(t, err)
	d := &fakeDeployment{revisions: []*dhpb.EditTablesRequest{{EditId: "first", Author: "ines", Tables: text}}}
	for i := range 3 {
		d.bills = append(d.bills, &dhpb.Bill{
			RequestId: fmt.Sprintf("0f8c7d2e-5b1a-4c3d-9e8f-00000000000%d", i), Account: "crew-east", Route: "cut-lists",
			Model: "oak", Version: "v1", Tokens: 640, Cost: 6.4, Revision: firstRevision,
		})
	}
	return d
}

func (f *fakeVM) serve(t *testing.T, useTLS bool) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewOperatorServiceHandler(f))
	authenticated := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dhwire.KeyOf(r.Header) != operatorKey {
			_ = connect.NewErrorWriter().Write(w, r, dhwire.ToConnect(dhcode.Errorf(dhcode.NotAuthenticated, "the key is not an operator's")))
			return
		}
		mux.ServeHTTP(w, r)
	})
	server := httptest.NewUnstartedServer(authenticated)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols.SetHTTP2(true)
	if useTLS {
		server.EnableHTTP2 = true
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(server.Close)
	return server
}

func certificate(server *httptest.Server) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
}

func (d *fakeDeployment) newest() uint64 { return firstRevision + uint64(len(d.revisions)) - 1 }

func (f *fakeVM) GetTables(_ context.Context, r *dhpb.GetTablesRequest) (*dhpb.GetTablesResponse, error) {
	d := f.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	revision := r.GetRevision()
	if revision == 0 {
		revision = d.newest()
	}
	if revision < firstRevision || revision > d.newest() {
		return nil, dhwire.ToConnect(dhcode.Errorf(dhcode.BaseRevisionUnknown, "revision %d does not exist", revision))
	}
	return &dhpb.GetTablesResponse{Revision: revision, Tables: d.revisions[revision-firstRevision].GetTables()}, nil
}

func (f *fakeVM) EditTables(ctx context.Context, r *dhpb.EditTablesRequest) (*dhpb.EditTablesResponse, error) {
	if f.clock != nil {
		f.clock.Step(callTimeout)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := f.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	f.editIDs = append(f.editIDs, r.GetEditId())
	if len(f.editErrors) > 0 {
		err := f.editErrors[0]
		f.editErrors = f.editErrors[1:]
		if err != nil {
			return nil, dhwire.ToConnect(err)
		}
	}
	revision, err := d.accept(r)
	if f.lostAnswers > 0 {
		f.lostAnswers--
		panic(http.ErrAbortHandler)
	}
	return &dhpb.EditTablesResponse{Revision: revision}, dhwire.ToConnect(err)
}

func (d *fakeDeployment) accept(r *dhpb.EditTablesRequest) (uint64, error) {
	for i, old := range d.revisions {
		if old.GetEditId() == r.GetEditId() && bytes.Equal(old.GetTables(), r.GetTables()) {
			return firstRevision + uint64(i), nil
		}
	}
	if r.GetBaseRevision() < firstRevision || r.GetBaseRevision() > d.newest() {
		return 0, dhcode.Errorf(dhcode.BaseRevisionUnknown, "revision %d is not known", r.GetBaseRevision())
	}
	if r.GetBaseRevision() != d.newest() {
		conflicting := d.revisions[r.GetBaseRevision()+1-firstRevision]
		return 0, dhcode.Errorf(dhcode.EditConflict, "revision %d is edit %s of %s", r.GetBaseRevision()+1, conflicting.GetEditId(), conflicting.GetAuthor())
	}
	d.revisions = append(d.revisions, r)
	return d.newest(), nil
}

func (f *fakeVM) History(context.Context, *dhpb.HistoryRequest) (*dhpb.HistoryResponse, error) {
	var response dhpb.HistoryResponse
	for i, r := range f.deployment.revisions {
		response.Revisions = append(response.Revisions, &dhpb.RevisionHeader{
			Revision: firstRevision + uint64(i), EditId: r.GetEditId(), Author: r.GetAuthor(), ContentHash: []byte("content-hash"),
		})
	}
	return &response, nil
}

func (f *fakeVM) Status(context.Context, *dhpb.StatusRequest) (*dhpb.StatusResponse, error) {
	d := f.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	laggingRevision := d.newest()
	if d.laggingStatuses > 0 {
		d.laggingStatuses--
		laggingRevision = firstRevision
	}
	return &dhpb.StatusResponse{
		Revision: d.newest(),
		Vms: []*dhpb.VMStatus{
			{Name: "entry-mrc-a-1", Zone: "mrc-a", Role: "voter", State: "alive", Revision: d.newest(), Lag: durationpb.New(0)},
			{Name: "entry-mrc-b-1", Zone: "mrc-b", Role: "entry", State: "alive", Revision: laggingRevision, Lag: durationpb.New(1234 * time.Millisecond)},
			{Name: "entry-mrc-c-1", Zone: "mrc-c", Role: "entry", State: "suspect", Revision: firstRevision - 1, Lag: durationpb.New(95 * time.Second)},
			{Name: "entry-mrc-d-1", Zone: "mrc-d", Role: "entry", State: "left", Revision: firstRevision - 2},
		},
		Pools: []*dhpb.PoolStatus{{Pool: "atelier-llm", State: "ready", Replicas: 20, InFlight: 311, Slots: 640}},
		Versions: []*dhpb.VersionStatus{
			{Pool: "atelier-llm", Model: "oak", Version: "v1", Stage: "stable", Share: 95, Answers: 120345, Errors: 12, Quality: 0.931},
			{Pool: "atelier-llm", Model: "oak", Version: "v2-with-a-long-name", Stage: "rollout", Share: 5, Answers: 611, Errors: 40, Quality: 0.71, Held: true},
		},
		Histograms: []*dhpb.HistogramStatus{{Name: "first-token", Label: "cut-lists", Count: 120956, P50Ms: 84.21, P95Ms: 301.5, P99Ms: 1204}},
	}, nil
}

func (f *fakeVM) Watch(ctx context.Context, _ *dhpb.WatchRequest, stream *connect.ServerStream[dhpb.StatusResponse]) error {
	for range 2 {
		status, err := f.Status(ctx, nil)
		if err != nil {
			return err
		}
		if err := stream.Send(status); err != nil || f.watchBreaks {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *fakeVM) Explain(_ context.Context, r *dhpb.ExplainRequest) (*dhpb.ExplainResponse, error) {
	return &dhpb.ExplainResponse{
		Model: "oak", Version: "v1", Backend: "atelier-llm-07", ResultCode: dhcode.OK.String(),
		Reasons: []string{
			r.GetAccount() + " may use pine/*, oak/v1 and oak/v2 on " + r.GetRoute() + "; oak/v2 is on hold since revision 40, so that new sessions get oak/v1",
			"atelier-llm-07 has the lowest estimated wait of 4 candidates",
		},
	}, nil
}

func (f *fakeVM) ExportBills(_ context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	bills := f.deployment.bills[r.GetAfter():]
	bills = bills[:min(len(bills), int(r.GetLimit()), 2)]
	next := r.GetAfter() + uint64(len(bills))
	return &dhpb.ExportBillsResponse{Bills: bills, Next: next, Complete: int(next) == len(f.deployment.bills)}, nil
}

// autoStepClock is a stepped clock that advances by itself past timers of at
// most maxRetryDelay.
type autoStepClock struct{ *dhtimer.Stepped }

func (c autoStepClock) After(d time.Duration, f func(now time.Time)) func() {
	cancel := c.Stepped.After(d, f)
	if d <= maxRetryDelay {
		c.Step(d)
	}
	return cancel
}

// result holds the exit status and the output of one run of the program.
type result struct {
	status   int
	out, err string
}

func runCommand(t *testing.T, servers []*httptest.Server, args ...string) result {
	t.Helper()
	return runCommandWithClock(t, dhtimer.NewStepped(), servers, args...)
}

func runCommandWithClock(t *testing.T, clock *dhtimer.Stepped, servers []*httptest.Server, args ...string) result {
	t.Helper()
	key := t.TempDir() + "/operator.key"
	assert.NilError(t, os.WriteFile(key, []byte(operatorKey+"\n"), 0o600))
	var out, errs bytes.Buffer
	p := &program{
		In: strings.NewReader(""), Out: &out, Err: &errs, Timers: autoStepClock{clock}, Exit: os.Exit,
		Getenv: func(string) string { return "" },
	}
	args = append([]string{"--key-file=" + key}, args...)
	for _, s := range servers {
		args = append(args, "--server="+s.URL)
	}
	status := p.run(t.Context(), args)
	return result{status, out.String(), errs.String()}
}

// fakeControl is the control service of one control VM, which remembers one verdict.
type fakeControl struct {
	dhpb.ControlService
	mu       sync.Mutex
	verdicts []*dhpb.QuarantineVerdict
}

// serve returns the address of the service.
func (f *fakeControl) serve(t *testing.T) string {
	t.Helper()
	f.verdicts = []*dhpb.QuarantineVerdict{{
		Cause: &dhpb.QuarantineCause{Pool: "loaf-llm", Id: 0x91bd3f06}, DecidedAt: 1_780_000_000_000, Remaining: durationpb.New(42 * time.Second),
		Crashes: 3, Requests: 2, Backends: []string{"i-1", "i-2"}, DecidedBy: "core-1",
	}}
	server := httptest.NewServer(dhpb.NewControlServiceServer(f))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Quarantine implements dhpb.ControlService.
func (f *fakeControl) Quarantine(_ context.Context, m *dhpb.QuarantineRequest) (*dhpb.QuarantineResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := m.GetOrder(); o != nil {
		f.verdicts = append(f.verdicts, &dhpb.QuarantineVerdict{
			Cause: o.GetCause(), DecidedAt: 1_780_000_060_000, Lifted: o.GetLift(), Remaining: o.GetDuration(), DecidedBy: o.GetOperator(),
		})
	}
	return &dhpb.QuarantineResponse{Verdicts: f.verdicts}, nil
}
