// Package dhevent splits a stream of server-sent events into whole events, so
// that a relay passes on nothing of an event that was cut off.
//
// The bytes of an event stay as they came. Only its id is read.
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

// MaxBytes bounds an event. An event holds some tokens; an entry VM has many
// streams and little memory.
const MaxBytes = 128 << 10

// bufferBytes is the read buffer of a stream. Events of a token or a few have
// some hundred bytes, so that one read takes several of them.
const bufferBytes = 2 << 10

// Event is one event with the blank line that ends it.
type Event struct {
	// Raw is valid until the next call of Next.
	Raw []byte
	// ID is the event's number; HasID is false when it has none.
	ID    int64
	HasID bool
}

// Reader reads events.
type Reader struct {
	buffer *bufio.Reader
	raw    []byte
}

var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// NewReader returns a reader of a body.
func NewReader(body io.Reader) *Reader {
	buffer, _ := buffers.Get().(*bufio.Reader)
	buffer.Reset(body)
	return &Reader{buffer: buffer}
}

// Release returns the reader's buffer. The reader must not be used afterwards.
func (r *Reader) Release() {
	r.buffer.Reset(nil)
	buffers.Put(r.buffer)
	r.buffer = nil
}

// More reports whether another whole event has been read already, so that Next
// does not wait for it.
func (r *Reader) More() bool {
	data, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && (bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n")))
}

// Next returns the next whole event. It returns io.EOF when the stream ends
// between two events, io.ErrUnexpectedEOF when it ends within one, and the
// code request-too-large for an event over MaxBytes.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
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

// line appends one line with its end.
func (r *Reader) line() error {
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
