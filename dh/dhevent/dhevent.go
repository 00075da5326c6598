// Package dhevent splits a stream of server-sent events into whole events, so
// that a relay forwards no part of a truncated event.
//
// The bytes of an event are kept unchanged. Only its id field is parsed.
//
// # Usage
//
//	events := dhevent.NewReader(body)
//	defer events.Release()
//	for {
//		event, err := events.Next() // io.EOF after the last whole event
//		...
//		w.Write(event.Raw)
//	}
package dhevent

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"dandelionhoist.example/dh/dhcode"
)

// MaxBytes is the maximum size of an event. An event holds only a few tokens,
// and an entry VM serves many streams with little memory.
const MaxBytes = 128 << 10

// bufferBytes is the size of a stream's read buffer. An event with one or a few
// tokens has a few hundred bytes, so one read returns several events.
const bufferBytes = 2 << 10

// Event is one event, including the blank line that terminates it.
type Event struct {
	// Raw is valid until the next call of Next.
	Raw []byte
	// ID is the numeric id of the event; HasID is false if it has none.
	ID    int64
	HasID bool
}

// Reader reads whole events from a stream.
type Reader struct {
	buffer *bufio.Reader
	raw    []byte
}

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// NewReader returns a Reader that reads from body.
func NewReader(body io.Reader) *Reader {
	buffer, _ := bufferPool.Get().(*bufio.Reader)
	buffer.Reset(body)
	return &Reader{buffer: buffer}
}

// Release returns the reader's buffer to the pool. The reader must not be used
// afterwards.
func (r *Reader) Release() {
	r.buffer.Reset(nil)
	bufferPool.Put(r.buffer)
	r.buffer = nil
}

// More reports whether another whole event is already buffered, so that Next
// returns it without blocking.
func (r *Reader) More() bool {
	data, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n")))
}

// Next returns the next whole event. It returns io.EOF when the stream ends
// between two events, io.ErrUnexpectedEOF when it ends within one, and an error
// with the code request-too-large for an event larger than MaxBytes.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			e.ID, e.HasID = id, err == nil
		}
	}
}

// readLine appends the next line to raw, including its line ending.
func (r *Reader) readLine() error {
	for {
		part, err := r.buffer.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw) > MaxBytes:
			return dhcode.Errorf(dhcode.RequestTooLarge, "an event has more than %d bytes", MaxBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		}
		return err
	}
}
