package dhrouter

import (
	"errors"
	"io"

	"dandelionhoist.example/dh/dhlimit"
)

const (
	// maxPlainBytes bounds an answer that is not a stream, since it is passed
	// on only when it is whole.
	maxPlainBytes = 8 << 20
	// maxUnsizedBytes bounds one whose head states no length: a backend server in
	// trouble may send without end, and on a link of 10 Mbit/s 8 MB take six
	// seconds from all other answers.
	maxUnsizedBytes = 1 << 20
	// ownPlainBytes of each answer are not taken from the memory that all answers
	// share, so that a few large ones do not hold up the usual small ones.
	ownPlainBytes = 32 << 10
	// firstPlainBytes is the first buffer of an answer without a length.
	firstPlainBytes = 1 << 10
	// maxUnnumberedBytes bounds what a stream may send without a new numbered
	// event: comments, events without a number or repeated ones.
	maxUnnumberedBytes = 64 << 10
)

var (
	// errEndless ends an attempt whose backend server sends more than an answer can have.
	errEndless = errors.New("the backend server sends without end")
	// errNoMemory says that the answers in flight leave no memory for another one.
	errNoMemory = errors.New("no memory is left for answers")
)

// plainBody is a whole answer in memory. Release gives its memory back.
type plainBody struct {
	data   []byte
	memory *dhlimit.Memory
	taken  int64
}

// mostBytes returns the bound of an answer of a stated length, or of an unknown
// one when length is negative.
func mostBytes(length int64) int64 {
	if length < 0 {
		return maxUnsizedBytes
	}
	return maxPlainBytes
}

// readPlain reads a whole answer. It returns errEndless for one that is too
// long, and errNoMemory with what was read when the answers in flight have no
// memory left for the rest.
func readPlain(body io.Reader, length int64, memory *dhlimit.Memory) (*plainBody, error) {
	most := mostBytes(length)
	if length > most {
		return nil, errEndless
	}
	b := &plainBody{memory: memory}
	if err := b.reserve(max(length, firstPlainBytes)); err != nil {
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
		case int64(len(b.data)) > most:
			b.release()
			return nil, errEndless
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.release()
			return nil, err
		}
	}
}

// reserve makes room for size bytes and one more, with which the end is seen.
func (b *plainBody) reserve(size int64) error {
	more := max(size+1-ownPlainBytes, 0) - b.taken
	if more > 0 {
		if !b.memory.Take(more) {
			return errNoMemory
		}
		b.taken += more
	}
	data := make([]byte, len(b.data), size+1)
	copy(data, b.data)
	b.data = data
	return nil
}

// release gives the memory back. The data must not be used afterwards.
func (b *plainBody) release() {
	b.memory.Give(b.taken)
	b.taken = 0
}
