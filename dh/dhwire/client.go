package dhwire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"connectrpc.com/connect"
)

// HTTP/2 pings detect a server that disappeared without closing its
// connection, so that its streams end.
const (
	pingIdleTime = 15 * time.Second
	pingTimeout  = 5 * time.Second
)

// NewTransport returns an HTTP/2 transport that uses TLS for https URLs and
// none for http URLs. If caFile is not empty, the transport trusts the PEM
// certificates in that file instead of the system's.
func NewTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{
		Protocols:           new(http.Protocols),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		TLSHandshakeTimeout: pingTimeout,
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS12},
	}
	transport.Protocols.SetHTTP2(true)
	transport.Protocols.SetUnencryptedHTTP2(true)
	if caFile == "" {
		return transport, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig.RootCAs = x509.NewCertPool()
	if !transport.TLSClientConfig.RootCAs.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificate in PEM", caFile)
	}
	return transport, nil
}

// CheckURL returns an error when text is not the base URL of a server.
func CheckURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("server %q is not a URL such as http://10.0.0.1:7000", text)
	}
	return nil
}

// WithKey makes a client send the key with every call.
func WithKey(key string) connect.ClientOption {
	return connect.WithInterceptors(keyInterceptor(key))
}

// WithoutCompression makes servers send answers uncompressed. By default
// connect compresses every chunk of a stream separately, which costs more time
// than it saves for chunks of a few bytes.
func WithoutCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

type keyInterceptor string

// WrapUnary implements connect.Interceptor.
func (k keyInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		SetKey(request.Header(), string(k))
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (k keyInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		SetKey(conn.RequestHeader(), string(k))
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (k keyInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
