package dhwire

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// TraceSent returns a context for one call and a flag that becomes true once the
// call has a connection. A call that fails while the flag is false has sent
// nothing.
func TraceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), sent
}
