package dhengine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

func durationpbOf(d time.Duration) *durationpb.Duration { return durationpb.New(d) }

// startServer serves a model with short step times on the system clock over a
// real TCP connection.
func startServer(t *testing.T, edit func(m *Model)) (*Model, string) {
	t.Helper()
	m := &Model{
		Timers: dhtimer.NewSystem(), ID: "b1", Address: "x", Pool: "p", Versions: []dhtable.Version{oak},
		Costs: Costs{Step: 100 * time.Microsecond, PrefillTokens: 512, Service: time.Millisecond},
	}
	if edit != nil {
		edit(m)
	}
	m.Start()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, handler := (&Server{Model: m}).Handler()
	ts := httptest.NewUnstartedServer(handler)
	_ = ts.Listener.Close()
	ts.Listener, ts.Config = listener, NewHTTPServer(handler)
	ts.Start()
	t.Cleanup(func() { m.Stop(); ts.Config.Close() })
	return m, listener.Addr().String()
}

func readAll(s *Stream) (string, error) {
	var text strings.Builder
	for {
		c, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.GetText())
	}
}

// Guards against answers that change in transit, and against errors that lose
// their result code or are marked "not run" although the request may have run.
func TestClientCallsServer(t *testing.T) {
	m, address := startServer(t, nil)
	var client Client
	ctx := context.Background()
	req := (&recordingSink{}).request("r1", "prompt")
	req.Offset = 17
	s, err := client.Generate(ctx, address, req)
	assert.NilError(t, err)
	text, err := readAll(s)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, text, Answer("prompt", "oak", "v1", 64)[17:])
	assert.NilError(t, s.Close())

	req.Version = "v9"
	s, err = client.Generate(ctx, address, req)
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.Equal(t, dhcode.Of(err), dhcode.VersionNotAllowed)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)

	response, err := client.Order(ctx, address, &dhpb.OrderRequest{FencingToken: 1, Kind: "unload", Model: "oak", Version: "v2"})
	assert.NilError(t, err)
	assert.Assert(t, response.GetAccepted())
	_, err = client.Order(ctx, address, &dhpb.OrderRequest{Kind: "dance", Model: "oak", Version: "v2"})
	assert.Equal(t, dhcode.Of(err), dhcode.RequestMalformed)

	m.SetFaults(oak, Faults{ErrorRate: 1})
	s, err = client.Generate(ctx, address, (&recordingSink{}).request("r2", "prompt"))
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.Equal(t, dhcode.Of(err), dhcode.BackendFailed)
	assert.Equal(t, dhcode.RanOf(err), dhcode.RanUnknown)
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// Guards against errors of an unreachable backend server that are not marked
// "not run".
func TestUnreachableIsNotRun(t *testing.T) {
	address := closedAddress(t)
	var client Client
	s, err := client.Generate(context.Background(), address, (&recordingSink{}).request("r", "p"))
	if err == nil {
		_, err = readAll(s)
	}
	assert.Equal(t, dhcode.Of(err), dhcode.BackendFailed)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
}

// Guards against requests that keep running on the engine after their stream is
// closed, and against a Cancel that does not end the stream.
func TestCloseAndCancelStopTheRequest(t *testing.T) {
	m, address := startServer(t, func(m *Model) { m.Costs.Step = 5 * time.Millisecond })
	var client Client
	ctx := context.Background()
	req := (&recordingSink{}).request("r1", "p")
	req.MaxTokens = 1 << 20
	s, err := client.Generate(ctx, address, req)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	found, err := client.Cancel(ctx, address, "r1")
	assert.NilError(t, err)
	assert.Assert(t, found)
	_, err = readAll(s)
	assert.Equal(t, dhcode.Of(err), dhcode.Cancelled)

	s, err = client.Generate(ctx, address, req)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	_ = s.Close()
	for running := 1; running > 0; running, _ = m.Load() {
		assert.NilError(t, dhtimer.Sleep(ctx, m.Timers, time.Millisecond))
	}
}

// Guards against an announcer that sends no key, or that stops announcing to
// the others when one entry VM is unreachable.
func TestAnnouncer(t *testing.T) {
	m, _ := startServer(t, nil)
	entry := &entryVM{records: make(chan *dhpb.BackendRecord, 8)}
	_, handler := dhpbconnect.NewAnnounceServiceHandler(entry)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewHTTPServer(handler)
	ctx, cancel := context.WithCancel(context.Background())
	g := dhgroup.New(ctx)
	g.Go(func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	a := &Announcer{Model: m, Timers: m.Timers, Entries: []string{"http://" + closedAddress(t), "http://" + listener.Addr().String()}, PeerKey: "k"}
	g.Go(a.Run)
	assert.Equal(t, (<-entry.records).GetId(), "b1")
	m.Leave()
	a.AnnounceOnce(ctx)
	for (<-entry.records).GetState() != "leaving" {
		continue
	}
	cancel()
	_ = server.Close()
	assert.NilError(t, g.Wait())
}

type entryVM struct{ records chan *dhpb.BackendRecord }

func (e *entryVM) Announce(ctx context.Context, req *dhpb.AnnounceRequest) (*dhpb.AnnounceResponse, error) {
	info, _ := connect.CallInfoForHandlerContext(ctx)
	if info.RequestHeader().Get("Authorization") != "Bearer k" {
		return nil, errors.New("announcement has no key")
	}
	e.records <- req.GetBackend()
	return &dhpb.AnnounceResponse{}, nil
}
