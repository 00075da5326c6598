package dhdetour

import (
	"encoding/binary"
	"errors"
	"io"
	"net"

	"dandelionhoist.example/dh/dhsocket"
)

// A frame is the length of its data in two bytes, highest first, and the data. A frame
// without data marks the end of what the backend server sent.
const (
	frameHeaderBytes = 2
	maxFrameBytes    = 4 << 10
)

// frameWriter writes frames.
type frameWriter struct {
	w      io.Writer
	buffer [frameHeaderBytes + maxFrameBytes]byte
}

// copy writes what it reads as frames until the end of from.
func (f *frameWriter) copy(from io.Reader) (written int64, err error) {
	for {
		n, err := from.Read(f.buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(f.buffer[:], uint16(n))
			if _, err := f.w.Write(f.buffer[:frameHeaderBytes+n]); err != nil {
				return written, err
			}
			written += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
	}
}

func (f *frameWriter) end() error {
	_, err := f.w.Write([]byte{0, 0})
	return err
}

// detourConn is a connection to a backend server through a relay.
type detourConn struct {
	net.Conn
	from io.Reader
	// left is the number of bytes of the present frame that have not been read.
	left  int
	ended bool
}

// Read implements net.Conn. The end of the connection without an end frame is an error.
func (c *detourConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(c.from, header[:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		c.left = int(binary.BigEndian.Uint16(header[:]))
		if c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.from.Read(p[:min(len(p), c.left)])
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// EndError returns why the end of what the backend server sent does not complete an answer
// without a length; nil if it does. It waits until the relay has ended the connection, which
// it resets if bytes for the backend server arrive after the end.
func (c *detourConn) EndError() error {
	var more [1]byte
	if n, err := c.from.Read(more[:]); n > 0 || !errors.Is(err, io.EOF) {
		return dhsocket.ErrReset
	}
	return dhsocket.EndError(c.Conn)
}
