package dhentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhfake"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// testKeyLease is the lease on keys of a leaseTest.
const testKeyLease = 4500 * time.Millisecond

// testApplyTime is the time of a leaseTest within which a document must be in force.
const testApplyTime = 2 * time.Second

// leaseTest is an entry VM with one backend server, and its control VM, which answers a
// watch when the test says so.
type leaseTest struct {
	t         *testing.T
	timers    *dhtimer.Stepped
	entry     *Entry
	responses chan *dhpb.ControlWatchResponse
	sends     int
	// onDecode and onReading are called once: before a document is decoded, and at the
	// reading of the clock that readings counts down to.
	onDecode, onReading func()
	readings            atomic.Int64
}

// runLeaseTest runs a test on an entry VM on which version 1 of the document is in force,
// with the keys k0 and k1.
func runLeaseTest(t *testing.T, f func(l *leaseTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &leaseTest{t: t, timers: dhtimer.NewStepped(), responses: make(chan *dhpb.ControlWatchResponse, 1)}
		l.entry = &Entry{
			Name: "e0", Zone: "z0", Incarnation: 1, Seeds: []string{"c0"}, KeyLease: testKeyLease, ApplyTime: testApplyTime, RetryWindow: 10 * time.Second,
			ColdOvershoot: 1, Decode: l.decode, Source: l, Transport: l, Timers: l.timers, Clock: l,
			Log: slog.New(slog.DiscardHandler), Metrics: dhmetric.New(4),
		}
		group := dhgroup.New(t.Context())
		l.entry.Build(group.Context())
		group.Go(l.entry.Run)
		l.answer(1, "k0 k1")
		assert.NilError(t, l.ask("/keyed/", "k1"))
		f(l)
		group.Stop()
		dhfake.Drive(l.timers, time.Second, func() bool { return false })
		assert.NilError(t, group.Wait())
	})
}

// Watch implements dhwatch.Source.
func (l *leaseTest) Watch(ctx context.Context, _ string, _ *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	select {
	case r := <-l.responses:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Send implements dhrouter.Transport.
func (l *leaseTest) Send(_ context.Context, o *dhrouter.Outbound) (*dhrouter.Inbound, error) {
	l.sends++
	return &dhrouter.Inbound{
		Status: http.StatusOK, Header: http.Header{}, RequestID: o.ID, Sealed: true, Confidence: -1, Body: io.NopCloser(strings.NewReader("done")),
	}, nil
}

// Elapsed implements dhwatch.Clock.
func (l *leaseTest) Elapsed() time.Duration {
	if l.readings.Add(-1) == 0 {
		l.onReading()
	}
	return time.Duration(l.timers.Now().UnixNano())
}

// decode parses a list of keys. Any other text is invalid.
func (l *leaseTest) decode(text []byte) (*dhtable.Tables, error) {
	if f := l.onDecode; f != nil {
		l.onDecode = nil
		f()
	}
	route := dhtable.Route{Name: "keyed", Pool: "p", Repeatable: true, Deadline: 20 * time.Second, Forwarding: dhtable.Forwarding{
		Match: dhtable.Match{Host: "h", PathPrefix: "/keyed/"}, MaxAttempts: 3,
	}}
	public := route
	public.Name, public.Match.PathPrefix, public.Public = "public", "/public/", true
	account := dhtable.Account{Name: "a"}
	for key := range strings.FieldsSeq(string(text)) {
		if !strings.HasPrefix(key, "k") {
			return nil, errors.New("not a key")
		}
		account.KeyHashes = append(account.KeyHashes, dhtable.HashKey(key))
	}
	return dhtable.New(1, map[string]dhtable.Account{"a": account}, map[string]dhtable.Route{"keyed": route, "public": public}, map[string]dhtable.Pool{"p": {Name: "p"}}, text), nil
}

// answer answers the next watch with a document that a majority has just confirmed, and
// waits until the response has been applied.
func (l *leaseTest) answer(version uint64, text string) {
	l.responses <- &dhpb.ControlWatchResponse{
		Epoch: 1, Position: version, Confirmed: true, ConfirmedAge: durationpb.New(0), Complete: true, EntryVms: 1,
		Document: &dhpb.Document{Version: version, Text: []byte(text)},
		Backends: []*dhpb.BackendRecord{{Id: "b0", Address: "10.0.0.1:80", Pool: "p", State: dhbackend.Ready.String(), Slots: 4, Sequence: version, Versions: []*dhpb.LoadedVersion{{}}}},
	}
	assert.Assert(l.t, dhfake.Drive(l.timers, time.Second, func() bool { return len(l.responses) == 0 }))
}

// cut lets a time pass without an answer.
func (l *leaseTest) cut(d time.Duration) {
	end := l.timers.Now().Add(d)
	assert.Assert(l.t, dhfake.Drive(l.timers, d+time.Second, func() bool { return !l.timers.Now().Before(end) }))
}

// ask sends a request and returns its error.
func (l *leaseTest) ask(path, key string) error {
	m := &dhrouter.Message{ID: "r1", Method: "GET", Host: "h", Path: path, Target: path, Header: http.Header{}, Key: key}
	_, err := l.entry.Router().Forward(l.t.Context(), m, httptest.NewRecorder())
	return err
}

// checkRefused checks that a request with a revoked key was refused and not sent.
func (l *leaseTest) checkRefused(err error, sends int) {
	l.t.Helper()
	code := dhcode.Of(err)
	assert.Check(l.t, code == dhcode.UnknownKey || code == dhcode.TablesLeaseLapsed, "%v", err)
	assert.Check(l.t, dhcode.RanOf(err) == dhcode.NotRun, "%v", err)
	assert.Equal(l.t, l.sends, sends)
}

// Guards against a revoked key that is accepted by the tables before the revocation, because
// the response that brings the newer ones has already confirmed the lease (review case 6).
func TestResponseConfirmsOnlyItsOwnTables(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		l.cut(6 * time.Second)
		var during error
		l.onDecode = func() { during = l.ask("/keyed/", "k1") }
		sends := l.sends
		l.answer(2, "k0")
		l.checkRefused(during, sends)
		l.checkRefused(l.ask("/keyed/", "k1"), sends)
		assert.NilError(t, l.ask("/keyed/", "k0"))
	})
}

// Guards against a revoked key that is accepted because the tables are read before, and the
// lease after, a response that arrives between the two, for example on a VM that stood still
// at any of a request's checks of the lease.
func TestLeaseAndTablesAreReadTogether(t *testing.T) {
	for reading := int64(1); ; reading++ {
		reached := false
		t.Run(fmt.Sprintf("at reading %d of the clock", reading), func(t *testing.T) {
			runLeaseTest(t, func(l *leaseTest) {
				l.onReading = func() {
					reached = true
					l.timers.Step(6 * time.Second)
					l.answer(2, "k0")
				}
				sends := l.sends
				l.readings.Store(reading)
				err := l.ask("/keyed/", "k1")
				l.readings.Store(0)
				if reached {
					l.checkRefused(err, sends)
				}
			})
		})
		if !reached {
			assert.Assert(t, reading > 2, "the lease is checked at admission and before the send")
			return
		}
	}
}

// placer calls a function once after a placement.
type placer struct {
	dhrouter.Placer
	then func()
}

func (p *placer) Begin(place *dhplacement.Placement, req dhplacement.Request) {
	p.Placer.Begin(place, req)
	if f := p.then; f != nil {
		p.then = nil
		f()
	}
}

// Guards against a request that is sent by tables which newer ones have replaced between its
// placement and its send, with a lease that only the newer ones hold.
func TestRequestIsJudgedAgainByNewTables(t *testing.T) {
	for _, c := range []struct {
		name, keys string
		sent       bool
	}{
		{"key revoked", "k0", false},
		{"key kept", "k0 k1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runLeaseTest(t, func(l *leaseTest) {
				l.entry.Router().Placer = &placer{Placer: l.entry.Router().Placer, then: func() {
					l.timers.Step(6 * time.Second)
					l.answer(2, c.keys)
				}}
				sends := l.sends
				err := l.ask("/keyed/", "k1")
				if c.sent {
					assert.NilError(t, err)
					assert.Equal(t, l.sends, sends+1)
					return
				}
				l.checkRefused(err, sends)
			})
		})
	}
}

// Guards against a revoked key that is accepted without end because the document that
// revokes it cannot be decoded, while its control VM keeps confirming it.
func TestUndecodableDocumentConfirmsNoTables(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		for range 10 {
			l.cut(testKeyLease / 10)
			l.answer(2, "unreadable")
		}
		sends := l.sends
		l.checkRefused(l.ask("/keyed/", "k1"), sends)
		assert.Assert(t, !l.entry.Ready())
		assert.NilError(t, l.ask("/public/", ""))
		sends = l.sends
		l.answer(3, "k0")
		l.checkRefused(l.ask("/keyed/", "k1"), sends)
		assert.NilError(t, l.ask("/keyed/", "k0"))
		assert.Assert(t, l.entry.Ready())
	})
}

// Guards against an entry VM that handles requests by old tables without a line in its log.
func TestOldTablesAreReported(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		var log strings.Builder
		l.entry.Log = slog.New(slog.NewTextHandler(&log, nil))
		l.cut(testApplyTime / 2)
		assert.Equal(t, log.String(), "")
		l.cut(testApplyTime)
		assert.Assert(t, strings.Count(log.String(), `msg="tables too old" version=1`) == 1, "%s", log.String())
		l.answer(1, "k0 k1")
		l.cut(testApplyTime / 4)
		assert.Assert(t, strings.Count(log.String(), `msg="tables recent again" version=1`) == 1, "%s", log.String())
	})
}
