package dhwire_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhwire"
)

type fixedResponse struct{ body io.Reader }

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(f.body)}, nil
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a response without end that is read until the memory is used up, and
// against a bound that refuses responses after others have been read.
func TestBoundedResponses(t *testing.T) {
	b := &dhwire.Bounds{MaxBytes: 1000, MaxTotalBytes: 1500}
	read := func(next fixedResponse) (int, error, io.Closer) {
		r, err := b.Client(next).RoundTrip(nil)
		assert.NilError(t, err)
		data, err := io.ReadAll(r.Body)
		return len(data), err, r.Body
	}
	for range 5 {
		n, err, body := read(fixedResponse{strings.NewReader(strings.Repeat("x", 1000))})
		assert.NilError(t, err)
		assert.Equal(t, n, 1000)
		assert.NilError(t, body.Close())
		assert.NilError(t, body.Close())
	}
	_, err, body := read(fixedResponse{endless{}})
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
	assert.NilError(t, body.Close())
	_, err, first := read(fixedResponse{strings.NewReader(strings.Repeat("x", 900))})
	assert.NilError(t, err)
	_, err, second := read(fixedResponse{strings.NewReader(strings.Repeat("x", 900))})
	assert.Equal(t, dhcode.Of(err), dhcode.QueueFull, "while the first is being used")
	assert.NilError(t, first.Close())
	assert.NilError(t, second.Close())
	_, err, body = read(fixedResponse{strings.NewReader(strings.Repeat("x", 900))})
	assert.NilError(t, err)
	assert.NilError(t, body.Close())
}

// Guards against a stream whose messages are bounded by what comes in one read, and against
// a bound on all of its messages together.
func TestBoundedStreams(t *testing.T) {
	message := func(n int) string { return string([]byte{0, 0, 0, byte(n >> 8), byte(n)}) + strings.Repeat("x", n) }
	read := func(text string) (int, error) {
		client := (&dhwire.Bounds{MaxBytes: 1000, MaxTotalBytes: 1500}).ConnectClient(fixedStream{iotest.OneByteReader(strings.NewReader(text))})
		response, err := client.Get("http://b")
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		return len(data), err
	}
	text := strings.Repeat(message(1000)+message(0), 20)
	n, err := read(text)
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
	_, err = read(message(10) + message(1001))
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
}

type fixedStream struct{ body io.Reader }

func (f fixedStream) RoundTrip(*http.Request) (*http.Response, error) {
	header := http.Header{"Content-Type": {"application/connect+proto"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(f.body)}, nil
}

// Guards against requests without end, and against many that use up the memory together.
func TestBoundedRequests(t *testing.T) {
	b := &dhwire.Bounds{MaxBytes: 1000, MaxTotalBytes: 1500}
	var nested http.Handler
	codes := map[string]dhcode.Code{}
	handler := b.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		codes[r.URL.Path] = dhcode.Of(err)
		if r.URL.Path == "/first" {
			nested.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/second", strings.NewReader(strings.Repeat("x", 900))))
		}
	}))
	nested = handler
	handler.ServeHTTP(nil, httptest.NewRequest(http.MethodPost, "/endless", endless{}))
	for range 3 {
		handler.ServeHTTP(nil, httptest.NewRequest(http.MethodPost, "/first", strings.NewReader(strings.Repeat("x", 900))))
	}
	assert.DeepEqual(t, codes, map[string]dhcode.Code{"/endless": dhcode.RequestTooLarge, "/first": dhcode.OK, "/second": dhcode.QueueFull})
}
