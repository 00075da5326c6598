package dhsession_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdaemon"
	"dandelionhoist.example/dh/dhjson"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhsession"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhversion"
)

// ruleViolations lists daemons that violate an invariant, each with a script in
// which the violation shows.
var ruleViolations = []struct {
	name, rule, script string
	prepare            func(d *dhdaemon.Daemon)
	settings           func(s *dhsetting.Settings)
}{
	{
		name: "use a version that the account may not use", rule: "R1",
		script:  "stream a1 r1 account=retail route=finish-questions\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { alterRequests(d, func(r *dhpb.GenerateRequest) { r.Version = "v9" }) },
	},
	{
		name: "ignore a withdrawn version", rule: "R2",
		script: `replace "v2": {"stage": "rollout", "share": 50, "replicas": 3} -> "v2": {"stage": "withdrawn"}
replace "share": 50 -> "share": 100
edit e2 a1 1
step 3s
stream a1 r1 account=crew route=cut-lists
step 1s`,
		prepare: func(d *dhdaemon.Daemon) { alterRequests(d, func(r *dhpb.GenerateRequest) { r.Version = "v2" }) },
	},
	{
		name: "forget the version of a session", rule: "R3",
		script: `stream a1 r1 account=crew route=cut-lists session=s1
step 1s
stream a1 r2 account=crew route=cut-lists session=s1
step 1s
stream a1 r3 account=crew route=cut-lists session=s1
step 1s
stream a1 r4 account=crew route=cut-lists session=s1
step 1s
stream a1 r5 account=crew route=cut-lists session=s1
step 1s
stream a1 r6 account=crew route=cut-lists session=s1
step 1s
stream a1 r7 account=crew route=cut-lists session=s1
step 1s
stream a1 r8 account=crew route=cut-lists session=s1
step 1s`,
		prepare: func(d *dhdaemon.Daemon) {
			router := d.Callers().Router
			router.Versions = &sessionDropper{next: router.Versions}
		},
	},
	{
		name: "bill twice", rule: "R4",
		script: "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) {
			router := d.Callers().Router
			router.Ledger = duplicateBilling{router.Ledger}
		},
	},
	{
		name: "bill nothing", rule: "R4",
		script:  "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { d.Callers().Router.Ledger = noBilling{} },
	},
	{
		name: "ignore the credits of a cold start", rule: "R5",
		script: `crash-engine llm-a
crash-engine llm-a2
crash-engine llm-b
crash-engine llm-c
step 7s
stream a1 a1-0 account=crew route=cut-lists tokens=100
stream a2 a2-0 account=crew route=cut-lists tokens=100
stream b1 b1-0 account=crew route=cut-lists tokens=100
stream b2 b2-0 account=crew route=cut-lists tokens=100
stream c1 c1-0 account=crew route=cut-lists tokens=100
stream c2 c2-0 account=crew route=cut-lists tokens=100
stream a1 a1-1 account=crew route=cut-lists tokens=100
stream a2 a2-1 account=crew route=cut-lists tokens=100
stream b1 b1-1 account=crew route=cut-lists tokens=100
stream b2 b2-1 account=crew route=cut-lists tokens=100
stream c1 c1-1 account=crew route=cut-lists tokens=100
stream c2 c2-1 account=crew route=cut-lists tokens=100
stream a1 a1-2 account=crew route=cut-lists tokens=100
stream a2 a2-2 account=crew route=cut-lists tokens=100
stream b1 b1-2 account=crew route=cut-lists tokens=100
stream b2 b2-2 account=crew route=cut-lists tokens=100
stream c1 c1-2 account=crew route=cut-lists tokens=100
stream c2 c2-2 account=crew route=cut-lists tokens=100
stream a1 a1-3 account=crew route=cut-lists tokens=100
stream a2 a2-3 account=crew route=cut-lists tokens=100
stream b1 b1-3 account=crew route=cut-lists tokens=100
stream b2 b2-3 account=crew route=cut-lists tokens=100
stream c1 c1-3 account=crew route=cut-lists tokens=100
stream c2 c2-3 account=crew route=cut-lists tokens=100
step 5s`,
		prepare: func(d *dhdaemon.Daemon) { d.Callers().Router.Credits = unlimitedCredits{} },
	},
	{
		name: "use a zone that is out", rule: "R6",
		script: `replace "mrc-a": {"region": "mauricie"} -> "mrc-a": {"region": "mauricie", "out": true}
edit e2 b2 1
step 4s
stream b1 r1 account=crew route=cut-lists
step 1s`,
		prepare: func(d *dhdaemon.Daemon) { redirectRequests(d, "llm-a") },
	},
	{
		name: "relay a foreign chunk", rule: "R7",
		script: "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) {
			alterAnswers(d, func(c *dhpb.Chunk) *dhpb.Chunk {
				c = proto.Clone(c).(*dhpb.Chunk)
				c.Text = strings.ToUpper(c.GetText())
				return c
			})
		},
	},
	{
		name: "end an answer early", rule: "R7",
		script: "stream a1 r1 account=crew route=cut-lists tokens=50\nstep 2s",
		prepare: func(d *dhdaemon.Daemon) {
			alterAnswers(d, func(c *dhpb.Chunk) *dhpb.Chunk {
				if c.GetOffset() > 30 {
					return nil
				}
				c = proto.Clone(c).(*dhpb.Chunk)
				c.Last = c.GetOffset()+int64(len(c.GetText())) > 30
				return c
			})
		},
	},
	{
		name: "report a request that ran as not run", rule: "R8",
		script:  "ask a1 r1 account=crew route=cut-orders key=k1\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { alterAnswers(d, nil) },
	},
	{
		name: "repeat a dispatched order", rule: "R9",
		script: "ask a1 r1 account=crew route=cut-orders key=k1\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) {
			d.Callers().Router.Engine = &duplicateSender{next: d.Callers().Router.Engine}
		},
	},
	{
		name: "use a backend server that has left", rule: "R10",
		script:  "leave llm-a\nstep 3100ms\nstream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { redirectRequests(d, "llm-a") },
	},
	{
		name: "stop with requests running", rule: "R11",
		script:   "stream a1 r1 account=crew route=cut-lists tokens=200\nstep 1ms\nstop a1\nstep 5s",
		settings: func(s *dhsetting.Settings) { s.Timing.StopLimit = dhjson.Duration(50 * time.Millisecond) },
	},
	{
		name: "keep an old revision", rule: "R12",
		script: "replace \"weight\": 1 -> \"weight\": 2\nedit e2 b1 1\nstep 4s",
		prepare: func(d *dhdaemon.Daemon) {
			if d.Settings.Name == "a2" {
				d.Operators().Node.Registers, d.Operators().Node.Peers = staleRegisters{}, staleRegisters{}
			}
		},
	},
}

// Guards against a checker that does not detect the violation of an invariant.
func TestCheckerDetectsViolations(t *testing.T) {
	for _, b := range ruleViolations {
		t.Run(b.name, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1)
			var faults []string
			synctest.Test(t, func(t *testing.T) {
				w := dhsession.NewSimulation(1)
				defer w.Close()
				w.Settings = b.settings
				if b.prepare != nil {
					w.Prepare = func(_ *dhsession.VM, d *dhdaemon.Daemon) { b.prepare(d) }
				}
				archive := &txtar.Archive{Files: []txtar.File{{Name: "script", Data: []byte("include shop.script\n" + b.script + "\nstep 3s\nbills b1\n")}}}
				script := &dhsession.Script{Simulation: w, Folder: "testdata", Archive: archive}
				assert.NilError(t, script.Run())
				faults = w.History.Check()
			})
			detected := slices.ContainsFunc(faults, func(f string) bool { return strings.HasPrefix(f, b.rule+":") })
			assert.Assert(t, detected, "expected a violation of %s, got %q", b.rule, faults)
		})
	}
}

// faultyEngine is a dhrouter.Engine that alters the requests to and the answers of
// another one.
type faultyEngine struct {
	next          dhrouter.Engine
	address       string
	request       func(r *dhpb.GenerateRequest)
	chunk         func(c *dhpb.Chunk) *dhpb.Chunk
	denyExecution bool
}

func alterRequests(d *dhdaemon.Daemon, f func(r *dhpb.GenerateRequest)) {
	d.Callers().Router.Engine = &faultyEngine{next: d.Callers().Router.Engine, request: f}
}

func redirectRequests(d *dhdaemon.Daemon, address string) {
	d.Callers().Router.Engine = &faultyEngine{next: d.Callers().Router.Engine, address: address}
}

// alterAnswers makes the daemon alter or truncate answers. If f is nil, it reports
// requests that ran as not run.
func alterAnswers(d *dhdaemon.Daemon, f func(c *dhpb.Chunk) *dhpb.Chunk) {
	d.Callers().Router.Engine = &faultyEngine{next: d.Callers().Router.Engine, chunk: f, denyExecution: f == nil}
}

// Generate implements dhrouter.Engine.
func (e *faultyEngine) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	if e.address != "" {
		address = e.address
	}
	if e.request != nil {
		e.request(req)
	}
	s, err := e.next.Generate(ctx, address, req)
	if err != nil || (e.chunk == nil && !e.denyExecution) {
		return s, err
	}
	return &faultyStream{Stream: s, engine: e}, nil
}

type faultyStream struct {
	dhrouter.Stream
	engine *faultyEngine
}

// Next implements dhrouter.Stream.
func (s *faultyStream) Next() (*dhpb.Chunk, error) {
	c, err := s.Stream.Next()
	if err != nil {
		return c, err
	}
	if s.engine.denyExecution {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "denied"), dhcode.NotRun)
	}
	if c = s.engine.chunk(c); c == nil {
		return nil, io.EOF
	}
	return c, nil
}

// duplicateSender sends each request to two backend servers.
type duplicateSender struct{ next dhrouter.Engine }

// Generate implements dhrouter.Engine.
func (r *duplicateSender) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	other := "app-b"
	if address == other {
		other = "app-c"
	}
	if _, err := r.next.Generate(ctx, other, req); err != nil {
		return nil, err
	}
	return r.next.Generate(ctx, address, req)
}

// sessionDropper starts a new session for each request.
type sessionDropper struct {
	next dhrouter.Versions
	n    int
}

// Choose implements dhrouter.Versions.
func (f *sessionDropper) Choose(in dhversion.Input) (dhversion.Choice, error) {
	f.n++
	in.Token, in.SessionID = "", fmt.Sprint("forgotten ", f.n)
	return f.next.Choose(in)
}

type duplicateBilling struct{ next dhrouter.Ledger }

// Put implements dhrouter.Ledger.
func (l duplicateBilling) Put(ctx context.Context, bill *dhpb.Bill) error {
	again := proto.Clone(bill).(*dhpb.Bill)
	again.RequestId += " again"
	if err := l.next.Put(ctx, again); err != nil {
		return err
	}
	return l.next.Put(ctx, bill)
}

type noBilling struct{}

// Put implements dhrouter.Ledger.
func (noBilling) Put(context.Context, *dhpb.Bill) error { return nil }

type unlimitedCredits struct{}

func (unlimitedCredits) Available(*dhbackend.Backend) bool { return true }
func (unlimitedCredits) Acquire(string) (func(), bool)     { return func() {}, true }
func (unlimitedCredits) MaxRun(string) time.Duration       { return 0 }
func (unlimitedCredits) FirstToken(string, time.Duration)  {}

// staleRegisters never returns a new revision.
type staleRegisters struct{}

var errStaleRegisters = dhcode.Errorf(dhcode.QuorumUnreachable, "stale")

func (staleRegisters) Update(context.Context, string, func([]byte) ([]byte, error)) ([]byte, error) {
	return nil, errStaleRegisters
}

func (staleRegisters) Read(context.Context, string) ([]byte, error) { return nil, errStaleRegisters }

func (staleRegisters) FetchRevision(context.Context, string, uint64) (*dhpb.Revision, error) {
	return nil, errStaleRegisters
}
