package dhintake

import (
	"net"
	"sync"

	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhsocket"
)

// room bounds the bytes that may wait to be read on a connection: least, and more while there
// is memory. It may be used by several goroutines.
type room struct {
	memory *dhlimit.Memory
	least  int64

	mu     sync.Mutex
	held   int64 // beyond least
	closed bool
}

// widen lets total bytes wait to be read on conn, if the memory is used up to a share at most.
// What a connection has got it keeps until it is closed: its peer may fill it at any time.
func (r *room) widen(conn net.Conn, total int64, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	more := total - r.least - r.held
	if r.closed || more <= 0 || !r.memory.ReserveBelow(more, int64(float64(r.memory.Max)*share)) {
		return
	}
	if err := dhsocket.SetMaxUnread(conn, int(total)); err != nil {
		r.memory.Release(more)
		return // the connection has ended, or has as much room as before
	}
	r.held += more
}

// close returns the memory.
func (r *room) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Release(r.held)
	r.held, r.closed = 0, true
}
