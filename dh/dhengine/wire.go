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

// NewHTTPClient returns a client that speaks HTTP/2, without TLS for http URLs.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return &http.Client{Transport: &http.Transport{
		Protocols:       &protocols,
		DialContext:     dialer.DialContext,
		IdleConnTimeout: time.Minute,
		// Finds connections whose peer has vanished without closing them.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}}
}

// NewHTTPServer returns a server that speaks HTTP/1.1 and HTTP/2 without TLS.
func NewHTTPServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: &protocols, ReadHeaderTimeout: 5 * time.Second,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 1000},
	}
}

// decodeError gives an error of a call its result code. sent says whether the
// call got as far as a connection; when it did not, the request has not run.
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
