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

type failingHandler struct {
	dhpbconnect.UnimplementedRouterServiceHandler
	err error
}

func (f *failingHandler) Ask(context.Context, *dhpb.AskRequest) (*dhpb.AskResponse, error) {
	return nil, dhwire.ToConnect(f.err)
}

func (f *failingHandler) Stream(_ context.Context, _ *dhpb.AskRequest, s *connect.ServerStream[dhpb.Chunk]) error {
	if err := s.Send(&dhpb.Chunk{Text: "a"}); err != nil {
		return err
	}
	return dhwire.ToConnect(f.err)
}

// Guards against a result code, a value of whether the request ran or a
// retry-after hint that changes in transit, in a unary answer or in a stream
// that has already sent a chunk.
func TestRoundTrip(t *testing.T) {
	handler := &failingHandler{}
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewRouterServiceHandler(handler))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := dhpbconnect.NewRouterServiceClient(server.Client(), server.URL)
	for _, code := range dhcode.Codes()[1:] {
		for ran := dhcode.RanUnknown; ran <= dhcode.DidRun; ran++ {
			retryAfter := time.Duration(int(code)) * 250 * time.Millisecond
			handler.err = dhcode.WithRetryAfter(dhcode.WithRan(dhcode.Errorf(code, "pool %q", "p"), ran), retryAfter)
			_, err := client.Ask(t.Context(), &dhpb.AskRequest{})
			assertDecoded(t, err, code, ran, retryAfter)
			stream, err := client.Stream(t.Context(), &dhpb.AskRequest{})
			assert.NilError(t, err)
			for stream.Receive() {
			}
			assertDecoded(t, stream.Err(), code, ran, retryAfter)
		}
	}
}

func assertDecoded(t *testing.T, err error, code dhcode.Code, ran dhcode.Ran, retryAfter time.Duration) {
	t.Helper()
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), code)
	assert.Equal(t, dhcode.RanOf(err), ran)
	assert.Equal(t, dhcode.RetryAfterOf(err), retryAfter)
	assert.Equal(t, err.Error(), `pool "p"`)
}

// Guards against a network error that is treated as "not run" although a
// connection was established, or as an error that the server returned.
func TestNetworkErrorsWithoutMetadata(t *testing.T) {
	httpClient := &http.Client{Transport: &http.Transport{}}
	closedServer := httptest.NewServer(http.NotFoundHandler())
	closedServer.Close()
	client := dhpbconnect.NewRouterServiceClient(httpClient, closedServer.URL)
	_, err := client.Ask(t.Context(), &dhpb.AskRequest{})
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)

	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abortingServer.Close()
	client = dhpbconnect.NewRouterServiceClient(httpClient, abortingServer.URL)
	_, err = client.Ask(t.Context(), &dhpb.AskRequest{})
	err = dhwire.FromConnect(err)
	assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	assert.Equal(t, dhcode.RanOf(err), dhcode.RanUnknown)
}

// Guards against an unknown code of a newer release that makes the client ignore
// whether the request ran.
func TestNewerCode(t *testing.T) {
	connectErr := connect.NewError(connect.CodeUnavailable, errors.New("text"))
	connectErr.Meta().Set(dhwire.HeaderCode, "code-of-newer-release")
	connectErr.Meta().Set(dhwire.HeaderRan, "not-run")
	err := dhwire.FromConnect(connectErr)
	assert.Equal(t, dhcode.Of(err), dhcode.Internal)
	assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
	assert.Error(t, err, "unknown result code code-of-newer-release: text")
}

// Guards against a plain error that FromConnect changes, context errors that lose
// their connect code, forwarded errors that lose their result code, and a nil
// error that becomes a typed nil.
func TestPlainErrors(t *testing.T) {
	assert.Assert(t, dhwire.ToConnect(nil) == nil)
	assert.NilError(t, dhwire.FromConnect(nil))
	plain := errors.New("plain")
	assert.Equal(t, dhwire.FromConnect(plain), plain)
	var connectErr *connect.Error
	assert.Assert(t, errors.As(dhwire.ToConnect(fmt.Errorf("ask: %w", context.DeadlineExceeded)), &connectErr))
	assert.Equal(t, connectErr.Code(), connect.CodeDeadlineExceeded)
	forwarded := dhwire.ToConnect(fmt.Errorf("forwarded: %w", dhwire.ToConnect(dhcode.Errorf(dhcode.Leaving, "vm"))))
	assert.Equal(t, dhcode.Of(dhwire.FromConnect(forwarded)), dhcode.Leaving)
}

// Guards against a key that is read from an Authorization header of a scheme
// other than Bearer.
func TestKeys(t *testing.T) {
	header := http.Header{}
	assert.Equal(t, dhwire.KeyOf(header), "")
	dhwire.SetKey(header, "secret")
	assert.Equal(t, dhwire.KeyOf(header), "secret")
	header.Set("Authorization", "Basic secret")
	assert.Equal(t, dhwire.KeyOf(header), "")
}

type streamingHandler struct {
	dhpbconnect.UnimplementedRouterServiceHandler
}

func (streamingHandler) Stream(_ context.Context, r *dhpb.AskRequest, s *connect.ServerStream[dhpb.Chunk]) error {
	for i := range r.GetMaxTokens() {
		if err := s.Send(&dhpb.Chunk{RequestId: "request-17", Offset: int64(i) * 4, Text: "oak ", Model: "oak", Version: "v1"}); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkStream measures the cost of connect's compression per chunk of a
// stream.
func BenchmarkStream(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewRouterServiceHandler(streamingHandler{}))
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
