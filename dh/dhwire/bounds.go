package dhwire

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"
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

// ConnectClient returns a client for connect that bounds the responses of next, and of
// streams each message. connect.WithReadMaxBytes reads a message that is too large to its
// end, which may never come.
func (b *Bounds) ConnectClient(next http.RoundTripper) *http.Client {
	return &http.Client{Transport: boundedClient{bounds: b, next: next, streams: true}}
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
	// streams is set if responses may be streams of the connect protocol.
	streams bool
}

// connectStreamPrefix begins the content type of a stream of the connect protocol.
const connectStreamPrefix = "application/connect+"

// RoundTrip implements http.RoundTripper.
func (c boundedClient) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if c.streams && response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), connectStreamPrefix) {
		response.Body = &streamBody{ReadCloser: response.Body, maxBytes: c.bounds.MaxBytes}
		return response, nil
	}
	response.Body = &boundedBody{ReadCloser: response.Body, bounds: c.bounds, releaseOnClose: true}
	return response, nil
}

// streamBody is a stream of the connect protocol: messages after a prefix of one byte of
// flags and their length in four bytes, highest first. It is read by one goroutine.
type streamBody struct {
	io.ReadCloser
	maxBytes int64
	// prefix holds the bytes of the present prefix that have been read, rest is the number
	// of bytes left of the present message.
	prefix []byte
	rest   int64
}

const streamPrefixBytes = 5

// Read implements io.Reader.
func (s *streamBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	for data := p[:n]; len(data) > 0; {
		if s.rest > 0 {
			skip := min(s.rest, int64(len(data)))
			s.rest, data = s.rest-skip, data[skip:]
			continue
		}
		take := min(streamPrefixBytes-len(s.prefix), len(data))
		s.prefix, data = append(s.prefix, data[:take]...), data[take:]
		if len(s.prefix) < streamPrefixBytes {
			break
		}
		s.rest, s.prefix = int64(binary.BigEndian.Uint32(s.prefix[1:])), s.prefix[:0]
		if s.rest > s.maxBytes {
			return 0, dhcode.Errorf(dhcode.RequestTooLarge, "a message of a stream has %d bytes, at most %d are read", s.rest, s.maxBytes)
		}
	}
	return n, err
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
