package dhengine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhwire"
)

// NewHTTPClient returns a client that uses HTTP/2, without TLS for http URLs.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	bounds := &dhwire.Bounds{MaxBytes: maxMessageBytes, MaxTotalBytes: maxTotalMessageBytes}
	return bounds.ConnectClient(&http.Transport{
		Protocols:       &protocols,
		DialContext:     dialer.DialContext,
		IdleConnTimeout: time.Minute,
		// Pings detect connections whose peer disappeared without closing them.
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
		MaxResponseHeaderBytes: dhwire.MaxHeaderBytes,
	})
}

const (
	// maxMessageBytes bounds a message of a backend server, such as a chunk of an answer or
	// its report. maxTotalMessageBytes bounds those that are being read at the same time,
	// except for chunks.
	maxMessageBytes      = 1 << 20
	maxTotalMessageBytes = 16 << 20
)

// NewHTTPServer returns a server for HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: &protocols, ReadHeaderTimeout: 5 * time.Second,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000},
	}
}

// decodeError converts the error of a call to one with a result code. sent
// reports whether a connection was obtained for the call; if not, the request
// cannot have run.
func decodeError(err error, sent bool) error {
	var e *connect.Error
	if errors.As(err, &e) && e.Meta().Get(dhwire.HeaderCode) != "" {
		return dhwire.FromConnect(err)
	}
	code := dhcode.BackendFailed
	switch {
	case errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled:
		code = dhcode.Cancelled
	case errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		code = dhcode.DeadlineExceeded
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		code = dhcode.StreamBroken
	}
	err = dhcode.Wrap(code, err)
	if !sent {
		err = dhcode.WithRan(err, dhcode.NotRun)
	}
	return err
}
