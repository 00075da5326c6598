package dhwire

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// TraceSent returns a context whose call sets the flag once it has a
// connection on which it may send. A call that fails before has sent nothing.
func TraceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}
