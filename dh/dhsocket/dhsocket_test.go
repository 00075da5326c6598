package dhsocket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhsocket"
)

// pause lets what was sent arrive.
const pause = 10 * time.Millisecond

// fillBuffers writes to a connection whose peer does not read until a write sends nothing,
// because the buffers of both sides are full.
func fillBuffers(t *testing.T, conn net.Conn) {
	t.Helper()
	chunk := make([]byte, 1<<20)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(pause))
		n, err := conn.Write(chunk)
		if n == 0 {
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			break
		}
	}
	_ = conn.SetWriteDeadline(time.Time{})
}

// Guards against ends of a peer that look alike to a reader: a reset whose error a Write has
// taken, or that follows the end of the peer's side, and an end before all was received.
func TestEndsAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		written int
		fill    bool
		end     func(peer *net.TCPConn)
		want    error
	}{
		"clean": {written: 4, end: func(peer *net.TCPConn) {
			_, _ = io.ReadFull(peer, make([]byte, 4))
			_ = peer.Close()
		}},
		"half-closed": {end: func(peer *net.TCPConn) { _ = peer.CloseWrite() }},
		"half-closed, then reset": {end: func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(pause)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, want: dhsocket.ErrReset},
		"reset": {written: 4, end: func(peer *net.TCPConn) {
			time.Sleep(pause)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, want: dhsocket.ErrReset},
		"half-closed before it has received all": {fill: true, end: func(peer *net.TCPConn) { _ = peer.CloseWrite() }, want: dhsocket.ErrUnread},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }() // the test has ended
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }() // as above
			peer, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = peer.Close() }() // it may be closed
			if c.fill {
				fillBuffers(t, conn)
			} else {
				_, err = conn.Write(make([]byte, c.written))
				assert.NilError(t, err)
			}
			c.end(peer.(*net.TCPConn))
			time.Sleep(pause)
			if errors.Is(c.want, dhsocket.ErrReset) {
				_, _ = conn.Write([]byte("x")) // takes the error of the reset
			}
			_, err = conn.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, io.EOF), "the reader sees %v", err)
			got := dhsocket.EndError(conn)
			assert.Assert(t, errors.Is(got, c.want), "%v", got)
		})
	}
}

// Guards against bytes of a peer that fill the memory of a process which does not read them.
func TestUnreadBytesAreBounded(t *testing.T) {
	const most, more = 16 << 10, 128 << 10
	listener, err := dhsocket.Listen(t.Context(), "127.0.0.1:0", most)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	fillBuffers(t, peer) // before the connection is accepted
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	unread := dhsocket.Unread(conn)
	assert.Assert(t, unread > 0 && unread <= most, "%d bytes", unread)

	assert.NilError(t, dhsocket.SetMaxUnread(conn, more))
	_, err = io.CopyN(io.Discard, conn, int64(unread))
	assert.NilError(t, err)
	fillBuffers(t, peer)
	unread = dhsocket.Unread(conn)
	assert.Assert(t, unread > most && unread <= more, "%d bytes", unread)
}
