package dhwire_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhwire"
)

type failing struct {
	dhpbconnect.UnimplementedRouterServiceHandler
	err error
}

func (f *failing) Ask(context.Context, *dhpb.AskRequest) (*dhpb.AskResponse, error) {
	return nil, dhwire.ToConnect(f.err)
}

func (f *failing) Stream(_ context.Context, _ *dhpb.AskRequest, s *connect.ServerStream[dhpb.Chunk]) error {
	if err := s.Send(&dhpb.Chunk{Text: "a"}); err != nil {
		return err
	}
	return dhwire.ToConnect(f.err)
}

// Guards against a code, a "not run" or a hint that changes on its way
// through a unary answer or a stream that has already begun.
func TestRoundTrip(t *testing.T) {
	handler := &failing{}
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewRouterServiceHandler(handler))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := dhpbconnect.NewRouterServiceClient(server.Client(), server.URL)
	for _, code := range dhcode.Codes()[1:] {
		for ran := dhcode.RanUnknown; ran <= dhcode.DidRun; ran++ {
			hint := time.Duration(int(code)) * 250 * time.Millisecond
			handler.err = dhcode.WithRetryAfter(dhcode.WithRan(dhcode.Errorf(code, "pool %q", "p"), ran), hint)
			_, err := client.Ask(t.Context(), &dhpb.AskRequest{})
			check(t, err, code, ran, hint)
			stream, err := client.Stream(t.Context(), &dhpb.AskRequest{})
			assert.NilError(t, err)
			for stream.Receive() {
			}
			check(t, stream.Err(), code, ran, hint)
		}
	}
}

func check(t *testing.T, err error, code dhcode.Code, ran dhcode.Ran, hint time.Duration) {
	t.Helper()
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), code)
	assert.Equal(t, dhcode.RanOf(err), ran)
	assert.Equal(t, dhcode.RetryAfterOf(err), hint)
	assert.Equal(t, err.Error(), `pool "p"`)
}

// Guards against a network error that is taken for "not run" or for the
// server's own word.
func TestWithoutMetadata(t *testing.T) {
	dialer := &http.Client{Transport: &http.Transport{}}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	client := dhpbconnect.NewRouterServiceClient(dialer, closed.URL)
	_, err := client.Ask(t.Context(), &dhpb.AskRequest{})
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)

	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	client = dhpbconnect.NewRouterServiceClient(dialer, broken.URL)
	_, err = client.Ask(t.Context(), &dhpb.AskRequest{})
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	assert.Equal(t, dhcode.RanOf(err), dhcode.RanUnknown)
}

// Guards against a code of a newer release that hides whether the request ran.
func TestNewerCode(t *testing.T) {
	wire := connect.NewError(connect.CodeUnavailable, errors.New("moon"))
	wire.Meta().Set(dhwire.HeaderCode, "moon-too-far")
	wire.Meta().Set(dhwire.HeaderRan, "not-run")
	err := dhwire.FromConnect(wire)
	assert.Equal(t, dhcode.Of(err), dhcode.Internal)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
	assert.Error(t, err, "unknown result code moon-too-far: moon")
}

// Guards against plain errors that lose their meaning, and against a typed nil.
func TestPlainErrors(t *testing.T) {
	assert.Assert(t, dhwire.ToConnect(nil) == nil)
	assert.NilError(t, dhwire.FromConnect(nil))
	plain := errors.New("plain")
	assert.Equal(t, dhwire.FromConnect(plain), plain)
	var wire *connect.Error
	assert.Assert(t, errors.As(dhwire.ToConnect(fmt.Errorf("ask: %w", context.DeadlineExceeded)), &wire))
	assert.Equal(t, wire.Code(), connect.CodeDeadlineExceeded)
	again := dhwire.ToConnect(fmt.Errorf("forwarded: %w", dhwire.ToConnect(dhcode.Errorf(dhcode.Leaving, "vm"))))
	assert.Equal(t, dhcode.Of(dhwire.FromConnect(again)), dhcode.Leaving)
}

// Guards against a key that is read from a header of another scheme.
func TestKeys(t *testing.T) {
	header := http.Header{}
	assert.Equal(t, dhwire.KeyOf(header), "")
	dhwire.SetKey(header, "secret")
	assert.Equal(t, dhwire.KeyOf(header), "secret")
	header.Set("Authorization", "Basic secret")
	assert.Equal(t, dhwire.KeyOf(header), "")
}

type streaming struct {
	dhpbconnect.UnimplementedRouterServiceHandler
}

func (streaming) Stream(_ context.Context, r *dhpb.AskRequest, s *connect.ServerStream[dhpb.Chunk]) error {
	for i := range r.GetMaxTokens() {
		if err := s.Send(&dhpb.Chunk{RequestId: "request-17", Offset: int64(i) * 4, Text: "oak ", Model: "oak", Version: "v1"}); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkStream shows what connect's compression costs a stream of tokens.
func BenchmarkStream(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewRouterServiceHandler(streaming{}))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	transport, err := dhwire.NewTransport("")
	assert.NilError(b, err)
	for _, c := range []struct {
		name    string
		options []connect.ClientOption
	}{{"compressed", nil}, {"plain", []connect.ClientOption{dhwire.WithoutCompression()}}} {
		b.Run(c.name, func(b *testing.B) {
			client := dhpbconnect.NewRouterServiceClient(&http.Client{Transport: transport}, server.URL, c.options...)
			stream, err := client.Stream(b.Context(), &dhpb.AskRequest{MaxTokens: int32(b.N)})
			assert.NilError(b, err)
			chunks := 0
			for stream.Receive() {
				chunks++
			}
			assert.NilError(b, stream.Err())
			assert.Equal(b, chunks, b.N)
		})
	}
}
