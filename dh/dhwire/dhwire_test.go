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
