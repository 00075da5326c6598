package dhwire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
)

// HeaderCall holds the id of a call between VMs, which the answer repeats.
const HeaderCall = "Dh-Call"

// Calls makes answers over HTTP/1.1 count only for the calls that they belong to. There, an
// answer that comes too late or twice would be taken for that to the next call on the
// connection. VMs of earlier builds repeat no id: an answer without one counts on a
// connection on which none has been repeated. The zero value is ready to use.
type Calls struct{ last atomic.Uint64 }

// callConn is a connection for calls.
type callConn struct {
	net.Conn
	// repeats is set once an answer on it has repeated the id of its call.
	repeats atomic.Bool
}

// Connect returns a function that connects like dial, for a transport that Client is given.
func (*Calls) Connect(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &callConn{Conn: conn}, nil
	}
}

// Client returns a round tripper that gives each call an id. If an answer belongs to another
// call, it closes the connection and returns an error.
func (c *Calls) Client(next http.RoundTripper) http.RoundTripper { return callClient{c, next} }

type callClient struct {
	calls *Calls
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c callClient) RoundTrip(r *http.Request) (*http.Response, error) {
	id, conn := strconv.FormatUint(c.calls.last.Add(1), 36), (*callConn)(nil)
	r = r.Clone(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*callConn) },
	}))
	r.Header.Set(HeaderCall, id)
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	answered := response.Header.Get(HeaderCall)
	if answered == id {
		conn.repeats.Store(true)
		return response, nil
	}
	if answered == "" && !conn.repeats.Load() {
		return response, nil
	}
	_ = conn.Close() // the own answer may follow, and would be taken for that to the next call
	_ = response.Body.Close()
	return nil, fmt.Errorf("call %s got the answer to call %q", id, answered)
}

// RepeatCalls returns a handler whose answers repeat the ids of their calls.
func RepeatCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderCall); id != "" {
			w.Header().Set(HeaderCall, id)
		}
		next.ServeHTTP(w, r)
	})
}
