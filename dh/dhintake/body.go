package dhintake

import (
	"errors"
	"io"
	"net/http"

	"dandelionhoist.example/dh/dhcode"
)

const (
	// firstBodyBytes is the memory for the first bytes of a body. A body of up to so many
	// bytes with a stated length is read without copying.
	firstBodyBytes = 8 << 10
	// fastGrowth is the factor by which small bodies grow, slowGrowth that of larger ones,
	// which keeps the memory that is allocated and not used small.
	fastGrowth, slowGrowth = 4, 2
)

// Body is the body of a request in memory. It belongs to one goroutine.
type Body struct {
	Data []byte

	gate       *Gate
	connection *Conn
	held       int64 // without a connection
}

// Release returns the memory of the body. Data is not used afterwards.
func (b *Body) Release() {
	if b == nil || b.gate == nil {
		return
	}
	if b.connection != nil {
		b.connection.release(&b.gate.bodies, 0)
	}
	b.gate.bodies.Release(b.held)
	b.held = 0
}

// hold makes total the memory that the body holds.
func (b *Body) hold(total int64) bool {
	if b.connection != nil {
		// A small body holds a quarter more while it is copied.
		if b.connection.hold(&b.gate.bodies, total, smallBodyBytes+smallBodyBytes/fastGrowth, BodiesFull) {
			return true
		}
		b.connection.drop(BodiesFull)
		return false
	}
	if b.gate.bodies.Reserve(total - b.held) {
		b.held = total
		return true
	}
	return false
}

// ReadBody reads the body of a request, of at most limit bytes. The memory counts as the
// bytes arrive. The error has the code request-too-large, queue-full (the request found no
// memory, or made no progress), request-malformed or cancelled (the client has gone). The
// body, which may be nil, is released by the caller.
func (g *Gate) ReadBody(w http.ResponseWriter, r *http.Request, limit int) (*Body, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, dhcode.Errorf(dhcode.RequestTooLarge, "the body has %d bytes, at most %d are accepted", r.ContentLength, limit)
	}
	b := &Body{gate: g, connection: connectionOf(r)}
	err := b.read(http.MaxBytesReader(w, r.Body, int64(limit)), int(r.ContentLength), limit)
	if err == nil {
		return b, nil
	}
	b.Release()
	var tooLarge *http.MaxBytesError
	switch {
	case dhcode.Of(err) == dhcode.QueueFull:
		return nil, err
	case errors.As(err, &tooLarge):
		return nil, dhcode.Wrap(dhcode.RequestTooLarge, err)
	case b.connection != nil && Reason(b.connection.reason.Load()) != notRefused:
		return nil, refusal(Reason(b.connection.reason.Load()))
	}
	return nil, dhcode.Wrap(dhcode.Cancelled, err)
}

// read reads a body of length bytes, or to its end if length is below 0.
func (b *Body) read(from io.Reader, length, limit int) error {
	size := limit
	if length >= 0 {
		size = length
	}
	if err := b.grow(min(firstBodyBytes, size)); err != nil {
		return err
	}
	one := make([]byte, 0, 1)
	for len(b.Data) != length {
		to := b.Data[len(b.Data):cap(b.Data)]
		full := len(to) == 0
		if full {
			to = one[:1] // the body may end here
		}
		n, err := from.Read(to)
		if full && n > 0 {
			if err := b.grow(b.next(size)); err != nil {
				return err
			}
			b.Data = append(b.Data, to[0])
		} else {
			b.Data = b.Data[:len(b.Data)+n]
		}
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || len(b.Data) == length):
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// next returns the memory for a body that has filled its memory and has at most size bytes.
func (b *Body) next(size int) int {
	if n := cap(b.Data); n < smallBodyBytes {
		return min(n*fastGrowth, smallBodyBytes, max(size, n+1))
	}
	return min(cap(b.Data)*slowGrowth, max(size, cap(b.Data)+1))
}

// grow copies the body into memory of size bytes. Both count until it is copied.
func (b *Body) grow(size int) error {
	before := int64(cap(b.Data))
	if !b.hold(before + int64(size)) {
		return refusal(BodiesFull)
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	if b.connection != nil {
		b.connection.release(&b.gate.bodies, int64(size))
	} else {
		b.gate.bodies.Release(before)
		b.held = int64(size)
	}
	return nil
}
