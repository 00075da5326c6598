package dhwire_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhwire"
)

type fixedResponse struct {
	body   io.Reader
	length int64
}

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{Body: io.NopCloser(f.body), ContentLength: f.length}, nil
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a response without end that is read until the memory is used up, and
// against a bound that refuses responses after others have been read.
func TestBoundedResponses(t *testing.T) {
	b := &dhwire.Bounded{MaxBytes: 1000, MaxTotalBytes: 1500}
	read := func(next fixedResponse) (int, error, io.Closer) {
		b.Next = next
		r, err := b.RoundTrip(nil)
		if err != nil {
			return 0, err, nil
		}
		data, err := io.ReadAll(r.Body)
		return len(data), err, r.Body
	}
	for range 5 {
		n, err, body := read(fixedResponse{strings.NewReader(strings.Repeat("x", 1000)), -1})
		assert.NilError(t, err)
		assert.Equal(t, n, 1000)
		assert.NilError(t, body.Close())
		assert.NilError(t, body.Close())
	}
	_, err, body := read(fixedResponse{endless{}, -1})
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
	assert.NilError(t, body.Close())
	_, err, _ = read(fixedResponse{endless{}, 1001})
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
	_, err, first := read(fixedResponse{strings.NewReader(strings.Repeat("x", 900)), -1})
	assert.NilError(t, err)
	_, err, second := read(fixedResponse{strings.NewReader(strings.Repeat("x", 900)), -1})
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge, "while the first is being used")
	assert.NilError(t, first.Close())
	assert.NilError(t, second.Close())
	_, err, body = read(fixedResponse{strings.NewReader(strings.Repeat("x", 900)), -1})
	assert.NilError(t, err)
	assert.NilError(t, body.Close())
}
