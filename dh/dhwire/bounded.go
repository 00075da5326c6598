package dhwire

import (
	"io"
	"net/http"
	"sync/atomic"

	"dandelionhoist.example/dh/dhcode"
)

// MaxHeaderBytes bounds the head of a message.
const MaxHeaderBytes = 64 << 10

// Bounded is an http.RoundTripper for calls whose response is read into memory. It bounds
// the body of each response, and those of all responses that are being read at the same
// time; reading beyond a bound fails with the code request-too-large. Its fields are set
// before use.
type Bounded struct {
	Next http.RoundTripper
	// MaxBytes bounds one body, MaxTotalBytes all of them.
	MaxBytes, MaxTotalBytes int64

	total atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (b *Bounded) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := b.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > b.MaxBytes {
		_ = response.Body.Close() // nothing of it is used
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "the response has %d bytes, at most %d are read", response.ContentLength, b.MaxBytes)
	}
	response.Body = &boundedBody{ReadCloser: response.Body, bounds: b}
	return response, nil
}

// boundedBody is read and closed by one goroutine.
type boundedBody struct {
	io.ReadCloser
	bounds *Bounded
	read   int64
	closed bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if total := b.bounds.total.Add(int64(n)); b.read > b.bounds.MaxBytes || total > b.bounds.MaxTotalBytes {
		return 0, dhcode.Errorf(dhcode.RequestTooLarge, "a response has over %d bytes, or all that are being read over %d", b.bounds.MaxBytes, b.bounds.MaxTotalBytes)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	if !b.closed {
		b.closed = true
		b.bounds.total.Add(-b.read)
	}
	return b.ReadCloser.Close()
}
