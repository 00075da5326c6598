package dhrouter

import (
	"errors"
	"io"

	"dandelionhoist.example/dh/dhlimit"
)

const (
	// maxSizedBytes bounds an answer of a stated length that is not a stream, since
	// it is relayed only when it is complete.
	maxSizedBytes = 8 << 20
	// maxUnsizedBytes bounds an answer whose head states no length. A faulty
	// backend server may send without end, and 8 MB occupy a link of 10 Mbit/s for
	// six seconds, which delays all other answers.
	maxUnsizedBytes = 1 << 20
	// unsharedBytes is the part of each answer that is not taken from the memory
	// shared by all answers, so that a few large answers do not delay the usual
	// small ones.
	unsharedBytes = 32 << 10
	// initialBufferBytes is the size of the first buffer of an answer whose length
	// is not stated.
	initialBufferBytes = 1 << 10
	// maxUnnumberedBytes bounds what a stream may send between two new numbered
	// events: comments, events without a number and repeated events.
	maxUnnumberedBytes = 64 << 10
)

var (
	// ErrEndless ends an attempt whose backend server sends more bytes than an answer may
	// have, or than may precede it. A Transport wraps it in the second case.
	ErrEndless = errors.New("the backend server sends without end")
	// errNoMemory reports that the shared memory for buffered answers is used up.
	errNoMemory = errors.New("no memory is left for answers")
)

// bufferedBody is the body of an answer in memory. release returns its memory to
// the shared pool.
type bufferedBody struct {
	data     []byte
	memory   *dhlimit.Memory
	reserved int64
}

// maxAnswerBytes returns the size limit of an answer of the given length; a
// negative length means that it is not known.
func maxAnswerBytes(length int64) int64 {
	if length < 0 {
		return maxUnsizedBytes
	}
	return maxSizedBytes
}

// readAnswer reads a complete answer into memory. It returns ErrEndless if the
// answer exceeds its size limit, and errNoMemory together with the part read so
// far if the shared memory is used up.
func readAnswer(body io.Reader, length int64, memory *dhlimit.Memory) (*bufferedBody, error) {
	limit := maxAnswerBytes(length)
	if length > limit {
		return nil, ErrEndless
	}
	b := &bufferedBody{memory: memory}
	if err := b.reserve(max(length, initialBufferBytes)); err != nil {
		return b, err
	}
	for {
		if len(b.data) == cap(b.data) {
			if err := b.reserve(int64(2 * cap(b.data))); err != nil {
				return b, err
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			b.release()
			return nil, ErrEndless
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.release()
			return nil, err
		}
	}
}

// reserve grows the buffer to size bytes and one more, which is needed to detect
// the end of the body.
func (b *bufferedBody) reserve(size int64) error {
	more := max(size+1-unsharedBytes, 0) - b.reserved
	if more > 0 {
		if !b.memory.Reserve(more) {
			return errNoMemory
		}
		b.reserved += more
	}
	data := make([]byte, len(b.data), size+1)
	copy(data, b.data)
	b.data = data
	return nil
}

// release returns the shared memory. The data must not be used afterwards.
func (b *bufferedBody) release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}
