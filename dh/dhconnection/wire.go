package dhconnection

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var errHead = errors.New("the head of an answer is too long")

// wire is a connection that counts the bytes written to it, and bounds those read.
type wire struct {
	net.Conn

	mu      sync.Mutex
	written int64
	ended   bool

	// left is the number of bytes that may be read. It belongs to whoever reads at present.
	left int64
	read atomic.Int64
}

// Write implements net.Conn.
func (c *wire) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Read implements net.Conn.
func (c *wire) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errHead
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	c.read.Add(int64(n))
	return n, err
}

// limit bounds the bytes of the next reads.
func (c *wire) limit(n int64) { c.left = n }

// received returns the number of bytes that were read.
func (c *wire) received() int64 { return c.read.Load() }

// count returns the number of bytes that were written.
func (c *wire) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// shut closes the connection and returns the number of bytes that were written to it. No
// byte is written afterwards.
func (c *wire) shut() int64 {
	_ = c.Close() // also ends a blocked Write, which holds the mutex
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return c.written
}
