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

// breaks are daemons that break a rule, and a script in which it shows.
var breaks = []struct {
	name, rule, script string
	prepare            func(d *dhdaemon.Daemon)
	settings           func(s *dhsetting.Settings)
}{
	{
		name: "use a version that the account may not use", rule: "R1",
		script:  "stream a1 r1 account=retail route=finish-questions\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { breakRequest(d, func(r *dhpb.GenerateRequest) { r.Version = "v9" }) },
	},
	{
		name: "ignore a withdrawn version", rule: "R2",
		script: `replace "v2": {"stage": "rollout", "share": 50, "replicas": 3} -> "v2": {"stage": "withdrawn"}
replace "share": 50 -> "share": 100
edit e2 a1 1
step 3s
stream a1 r1 account=crew route=cut-lists
step 1s`,
		prepare: func(d *dhdaemon.Daemon) { breakRequest(d, func(r *dhpb.GenerateRequest) { r.Version = "v2" }) },
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
			router.Versions = &forgetful{next: router.Versions}
		},
	},
	{
		name: "bill twice", rule: "R4",
		script: "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) {
			router := d.Callers().Router
			router.Ledger = twice{router.Ledger}
		},
	},
	{
		name: "bill nothing", rule: "R4",
		script:  "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { d.Callers().Router.Ledger = nothing{} },
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
		prepare: func(d *dhdaemon.Daemon) { d.Callers().Router.Credits = unlimited{} },
	},
	{
		name: "use a zone that is out", rule: "R6",
		script: `replace "mrc-a": {"region": "mauricie"} -> "mrc-a": {"region": "mauricie", "out": true}
edit e2 b2 1
step 4s
stream b1 r1 account=crew route=cut-lists
step 1s`,
		prepare: func(d *dhdaemon.Daemon) { breakAddress(d, "llm-a") },
	},
	{
		name: "relay a foreign chunk", rule: "R7",
		script: "stream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) {
			breakStream(d, func(c *dhpb.Chunk) *dhpb.Chunk {
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
			breakStream(d, func(c *dhpb.Chunk) *dhpb.Chunk {
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
		name: "say not run of a request that ran", rule: "R8",
		script:  "ask a1 r1 account=crew route=cut-orders key=k1\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { breakStream(d, nil) },
	},
	{
		name: "repeat a dispatched order", rule: "R9",
		script:  "ask a1 r1 account=crew route=cut-orders key=k1\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { d.Callers().Router.Engine = &repeater{next: d.Callers().Router.Engine} },
	},
	{
		name: "use a backend server that has left", rule: "R10",
		script:  "leave llm-a\nstep 3100ms\nstream a1 r1 account=crew route=cut-lists\nstep 1s",
		prepare: func(d *dhdaemon.Daemon) { breakAddress(d, "llm-a") },
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
				d.Operators().Node.Registers, d.Operators().Node.Peers = stale{}, stale{}
			}
		},
	},
}

// Guards against a checker that would not notice a broken rule.
func TestCheckerNoticesBreaks(t *testing.T) {
	for _, b := range breaks {
		t.Run(b.name, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, 1)
			var faults []string
			synctest.Test(t, func(t *testing.T) {
				w := dhsession.NewWorld(1)
				defer w.Close()
				w.Settings = b.settings
				if b.prepare != nil {
					w.Prepare = func(_ *dhsession.VM, d *dhdaemon.Daemon) { b.prepare(d) }
				}
				archive := &txtar.Archive{Files: []txtar.File{{Name: "script", Data: []byte("include shop.script\n" + b.script + "\nstep 3s\nbills b1\n")}}}
				script := &dhsession.Script{World: w, Folder: "testdata", Archive: archive}
				assert.NilError(t, script.Run())
				faults = w.Facts.Check()
			})
			noticed := slices.ContainsFunc(faults, func(f string) bool { return strings.HasPrefix(f, b.rule+":") })
			assert.Assert(t, noticed, "expected a violation of %s, got %q", b.rule, faults)
		})
	}
}

// engine changes requests and answers of a dhrouter.Engine.
type engine struct {
	next    dhrouter.Engine
	address string
	request func(r *dhpb.GenerateRequest)
	chunk   func(c *dhpb.Chunk) *dhpb.Chunk
	deny    bool
}

func breakRequest(d *dhdaemon.Daemon, f func(r *dhpb.GenerateRequest)) {
	d.Callers().Router.Engine = &engine{next: d.Callers().Router.Engine, request: f}
}

func breakAddress(d *dhdaemon.Daemon, address string) {
	d.Callers().Router.Engine = &engine{next: d.Callers().Router.Engine, address: address}
}

// breakStream changes or ends answers; without f it denies that they ran.
func breakStream(d *dhdaemon.Daemon, f func(c *dhpb.Chunk) *dhpb.Chunk) {
	d.Callers().Router.Engine = &engine{next: d.Callers().Router.Engine, chunk: f, deny: f == nil}
}

// Generate implements dhrouter.Engine.
func (e *engine) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	if e.address != "" {
		address = e.address
	}
	if e.request != nil {
		e.request(req)
	}
	s, err := e.next.Generate(ctx, address, req)
	if err != nil || (e.chunk == nil && !e.deny) {
		return s, err
	}
	return &stream{Stream: s, engine: e}, nil
}

type stream struct {
	dhrouter.Stream
	engine *engine
}

// Next implements dhrouter.Stream.
func (s *stream) Next() (*dhpb.Chunk, error) {
	c, err := s.Stream.Next()
	if err != nil {
		return c, err
	}
	if s.engine.deny {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "denied"), dhcode.NotRun)
	}
	if c = s.engine.chunk(c); c == nil {
		return nil, io.EOF
	}
	return c, nil
}

// repeater sends each request to two backend servers.
type repeater struct{ next dhrouter.Engine }

// Generate implements dhrouter.Engine.
func (r *repeater) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (dhrouter.Stream, error) {
	other := "app-b"
	if address == other {
		other = "app-c"
	}
	if _, err := r.next.Generate(ctx, other, req); err != nil {
		return nil, err
	}
	return r.next.Generate(ctx, address, req)
}

// forgetful gives each request a new session.
type forgetful struct {
	next dhrouter.Versions
	n    int
}

// Choose implements dhrouter.Versions.
func (f *forgetful) Choose(in dhversion.Input) (dhversion.Choice, error) {
	f.n++
	in.Token, in.SessionID = "", fmt.Sprint("forgotten ", f.n)
	return f.next.Choose(in)
}

type twice struct{ next dhrouter.Ledger }

// Put implements dhrouter.Ledger.
func (l twice) Put(ctx context.Context, bill *dhpb.Bill) error {
	again := proto.Clone(bill).(*dhpb.Bill)
	again.RequestId += " again"
	if err := l.next.Put(ctx, again); err != nil {
		return err
	}
	return l.next.Put(ctx, bill)
}

type nothing struct{}

// Put implements dhrouter.Ledger.
func (nothing) Put(context.Context, *dhpb.Bill) error { return nil }

type unlimited struct{}

func (unlimited) Available(*dhbackend.Backend) bool { return true }
func (unlimited) Acquire(string) (func(), bool)     { return func() {}, true }
func (unlimited) LongestRun(string) time.Duration   { return 0 }
func (unlimited) FirstToken(string, time.Duration)  {}

// stale never learns of a revision.
type stale struct{}

var errStale = dhcode.Errorf(dhcode.QuorumUnreachable, "stale")

func (stale) Update(context.Context, string, func([]byte) ([]byte, error)) ([]byte, error) {
	return nil, errStale
}
func (stale) Read(context.Context, string) ([]byte, error) { return nil, errStale }

func (stale) FetchRevision(context.Context, string, uint64) (*dhpb.Revision, error) {
	return nil, errStale
}
