package dhsoak

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/platform"
)

const (
	// maxCopies bounds the copies of an answer, maxOthers the requests and maxCopyDelay the
	// time for which a copy is held back.
	maxCopies    = 3
	maxOthers    = 3
	maxCopyDelay = 30 * time.Millisecond
	// Shares of copies while the connection is idle, without an id, with an unknown one, and
	// with headers that state things.
	whileIdleShare = 0.3
	withoutIDShare = 0.15
	unknownIDShare = 0.25
	statingShare   = 0.3
	// Shares of requests that are refused, and that fail, while a backend server copies.
	copiedRefusalShare = 0.3
	copiedFailureShare = 0.1
)

// answerConn is a connection that a backend server has accepted. It records each answer, and
// carries copies between two answers.
type answerConn struct {
	net.Conn
	backend *backend
	// Only the goroutine that serves the connection uses answer, the present one so far.
	answer []byte

	mu   sync.Mutex
	idle bool
	// owed holds copies by the number of further requests before which they are written.
	owed [maxOthers + 1][]byte
	// copied is set if a copy has been written since the end of the latest answer.
	copied bool
}

// answerListener accepts connections as answerConn.
type answerListener struct {
	net.Listener
	backend *backend
}

// Accept implements net.Listener.
func (l answerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &answerConn{Conn: conn, backend: l.backend}, err
}

// Write implements net.Conn.
func (c *answerConn) Write(p []byte) (int, error) {
	c.answer = append(c.answer, p...)
	return c.Conn.Write(p)
}

// changeState is called when the head of a request has been read, and when its answer has been
// written.
func (c *answerConn) changeState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = state == http.StateIdle
	switch state {
	case http.StateActive:
		c.writeCopy(c.owed[0])
		copy(c.owed[:], c.owed[1:])
		c.owed[maxOthers] = nil
	case http.StateIdle:
		c.copied = false
		c.copyAnswer()
		c.answer = nil
	}
}

// copyAnswer has copies of the present answer written, now or later. The caller holds mu.
func (c *answerConn) copyAnswer() {
	b := c.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conduct != copying {
		return
	}
	for range b.random.IntN(maxCopies + 1) {
		text := b.changeCopy(c.answer)
		if b.random.Float64() >= whileIdleShare {
			after := &c.owed[b.random.IntN(1+b.random.IntN(len(c.owed)))] // mostly the next request
			*after = append(*after, text...)
			continue
		}
		delay := time.Duration(b.random.Int64N(int64(maxCopyDelay)) * b.random.Int64N(2))
		b.deployment.soak.Timers.After(delay, func(time.Time) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.idle {
				c.writeCopy(text)
			}
		})
	}
}

// writeCopy writes copies between two answers. The caller holds mu.
func (c *answerConn) writeCopy(text []byte) {
	c.copied = c.copied || len(text) > 0
	_, _ = c.Conn.Write(text) // the VM may have closed the connection
}

// connectionKey is the key of the answerConn in the context of a request.
type connectionKey struct{}

// metCopy reports whether a copy precedes the answer to a request.
func metCopy(ctx context.Context) bool {
	c := ctx.Value(connectionKey{}).(*answerConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copied
}

// changeCopy returns the copy of an answer, perhaps without its id, with an unknown one, or
// with headers that state things. The caller holds mu.
func (b *backend) changeCopy(answer []byte) []byte {
	status, rest, _ := bytes.Cut(answer, []byte("\r\n"))
	id, stated := []byte(platform.HeaderID+": "), "\r\n"
	switch draw := b.random.Float64(); {
	case draw < withoutIDShare:
		rest = bytes.Replace(rest, id, []byte("Former-Id: "), 1)
	case draw < withoutIDShare+unknownIDShare:
		rest = bytes.Replace(rest, id, []byte(platform.HeaderID+": unknown-"), 1)
	}
	if b.random.Float64() < statingShare {
		stated += platform.HeaderRetryAfter + ": 60\r\n" + platform.HeaderLeaving + ": 1\r\n" + platform.HeaderLimit + ": 0\r\nConnection: close\r\n"
	}
	return slices.Concat(status, []byte(stated), rest)
}
