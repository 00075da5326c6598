package dhwire

import (
	"io"
	"net/http"
	"sync/atomic"

	"dandelionhoist.example/dh/dhcode"
)

// MaxHeaderBytes bounds the head of a message.
const MaxHeaderBytes = 64 << 10

// Bounds bounds the bodies that a process reads into memory: each one, and all that it holds
// at the same time. Reading beyond the first bound fails with the code request-too-large,
// beyond the second with queue-full. Its fields are set before use.
type Bounds struct {
	// MaxBytes bounds one body, MaxTotalBytes all of them.
	MaxBytes, MaxTotalBytes int64

	total atomic.Int64
}

// Client returns a round tripper that bounds the responses of next.
func (b *Bounds) Client(next http.RoundTripper) http.RoundTripper {
	return boundedClient{bounds: b, next: next}
}

// Handler returns a handler that bounds the requests to next. Their bodies count until next
// returns.
func (b *Bounds) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &boundedBody{ReadCloser: r.Body, bounds: b}
		defer body.release()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

type boundedClient struct {
	bounds *Bounds
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c boundedClient) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, bounds: c.bounds, releaseOnClose: true}
	return response, nil
}

// boundedBody is read and closed by one goroutine.
type boundedBody struct {
	io.ReadCloser
	bounds         *Bounds
	read           int64
	releaseOnClose bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	total := b.bounds.total.Add(int64(n))
	switch {
	case b.read > b.bounds.MaxBytes:
		return 0, dhcode.Errorf(dhcode.RequestTooLarge, "a body has over %d bytes", b.bounds.MaxBytes)
	case total > b.bounds.MaxTotalBytes:
		return 0, dhcode.Errorf(dhcode.QueueFull, "the bodies that are being read have over %d bytes", b.bounds.MaxTotalBytes)
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	if b.releaseOnClose {
		b.release()
	}
	return b.ReadCloser.Close()
}

func (b *boundedBody) release() {
	b.bounds.total.Add(-b.read)
	b.read = 0
}
