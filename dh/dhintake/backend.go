package dhintake

import (
	"context"
	"net"
)

// Connect returns a function that connects to backend servers with connect, which must let
// BackendUnreadBytes wait to be read on each connection. Connections with large answers get
// room for more while there is memory.
func (g *Gate) Connect(connect func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return &backendConn{Conn: conn, unread: room{memory: &g.backendUnread, least: BackendUnreadBytes}}, nil
	}
}

// backendConn is a connection to a backend server.
type backendConn struct {
	net.Conn
	unread room
	// burst is the number of bytes read since a Read found fewer than it could take. Only the
	// reader uses it.
	burst int
}

// Read implements net.Conn.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.burst += n; c.burst >= answerBurstBytes {
		c.unread.widen(c.Conn, answerUnreadBytes, 1)
	}
	if n < len(p) {
		c.burst = 0
	}
	return n, err
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	err := c.Conn.Close()
	c.unread.close()
	return err
}

// NetConn returns the TCP connection.
func (c *backendConn) NetConn() net.Conn { return c.Conn }
