package dhdetour

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhsocket"
)

// tokenHeader carries the token of the relay.
const tokenHeader = "Detour-Token"

// maxTunnels bounds the connections that a relay carries at the same time if MaxTunnels is
// 0. Each takes two descriptors and about 20 KB.
const maxTunnels = 512

// Relay carries the connections of other VMs to backend servers. Its exported fields are
// set before use. It implements http.Handler for CONNECT requests.
type Relay struct {
	Group   *dhgroup.Group
	Log     *slog.Logger
	Metrics *dhmetric.Metrics
	// Direct connects to an address.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Known reports whether an address is that of a backend server.
	Known func(address string) bool
	// Token must be sent by the VMs that use this relay.
	Token []byte
	// MaxTunnels bounds the connections at the same time.
	MaxTunnels int

	tunnels atomic.Int64
}

// Tunnels returns the number of connections that the relay carries.
func (r *Relay) Tunnels() int { return int(r.tunnels.Load()) }

// ServeHTTP implements http.Handler. Status 200 means that the backend server is
// connected, 502 that this VM does not reach it, 403 that the caller may not use this relay
// or that it knows no such backend server, 503 that it carries too many connections.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	token, err := hex.DecodeString(request.Header.Get(tokenHeader))
	if err != nil || len(r.Token) == 0 || subtle.ConstantTimeCompare(token, r.Token) != 1 || !r.Known(request.Host) {
		r.refuse(w, http.StatusForbidden)
		return
	}
	limit := int64(r.MaxTunnels)
	if limit == 0 {
		limit = maxTunnels
	}
	if r.tunnels.Add(1) > limit {
		r.tunnels.Add(-1)
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	backend, err := r.Direct(request.Context(), request.Host)
	if err != nil {
		r.tunnels.Add(-1)
		r.refuse(w, http.StatusBadGateway)
		return
	}
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		r.tunnels.Add(-1)
		_ = backend.Close() // nothing was sent
		r.Log.Warn("connection not relayed", slog.String("error", err.Error()))
		return
	}
	r.Metrics.Count("relay", "connected")
	r.Group.Go(func(ctx context.Context) error {
		defer r.tunnels.Add(-1)
		r.carry(ctx, caller, backend)
		return nil
	})
}

func (r *Relay) refuse(w http.ResponseWriter, status int) {
	r.Metrics.Count("relay", "refused-"+http.StatusText(status))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// carry copies bytes between two connections until one of them ends. It marks the end of what
// the backend server sent if that has received all that the caller sent, and has not reset the
// connection.
func (r *Relay) carry(ctx context.Context, caller, backend net.Conn) {
	closeBoth := func() {
		_ = caller.Close()  // both ends learn of it by their connection
		_ = backend.Close() // as above
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	defer closeBoth()
	var sent upload
	var ending atomic.Bool
	copied := make(chan struct{})
	r.Group.Go(func(context.Context) error {
		_, _ = io.Copy(uploadWriter{backend, &sent}, uploadReader{caller, &sent}) // its error ends the connection
		if !ending.Load() {
			closeBoth()
		}
		close(copied)
		return nil
	})
	if _, err := io.WriteString(caller, connectedReply); err != nil {
		return
	}
	out := &frameWriter{w: caller}
	if _, err := out.copy(backend); err != nil {
		return
	}
	ending.Store(true)
	_, _ = caller.SetReadDeadline(past), backend.SetWriteDeadline(past) // they fail if the copy has ended
	<-copied
	if sent.read == sent.written && dhsocket.Unread(caller) == 0 && dhsocket.EndError(backend) == nil {
		_ = out.end() // if it does not arrive, the caller takes the answer for broken off
	}
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// upload counts the bytes that a relay has read from a caller and written to a backend
// server.
type upload struct{ read, written int64 }

type uploadReader struct {
	io.Reader
	upload *upload
}

// Read implements io.Reader.
func (r uploadReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.upload.read += int64(n)
	return n, err
}

type uploadWriter struct {
	io.Writer
	upload *upload
}

// Write implements io.Writer.
func (w uploadWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.upload.written += int64(n)
	return n, err
}

// connectedReply is the answer to a CONNECT request that succeeded.
const connectedReply = "HTTP/1.1 200 OK\r\n\r\n"

// ErrUnreachable reports that a relay does not reach the backend server.
var ErrUnreachable = errors.New("the relay does not reach the backend server")
