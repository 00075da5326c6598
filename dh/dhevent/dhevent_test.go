package dhevent_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhevent"
)

func readAll(t *testing.T, body io.Reader) (events []string, ids []int64, err error) {
	t.Helper()
	r := dhevent.NewReader(body)
	defer r.Release()
	for {
		e, err := r.Next()
		if err != nil {
			return events, ids, err
		}
		id := int64(-1)
		if e.HasID {
			id = e.ID
		}
		events, ids = append(events, string(e.Raw)), append(ids, id)
	}
}

// Guards against an event that is forwarded truncated, modified or twice,
// wherever the connection splits the bytes.
func TestWholeEventsOnly(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\ndata: " + strings.Repeat("x", 5000) + "\n\n"
	for _, body := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		events, ids, err := readAll(t, body)
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Equal(t, strings.Join(events, ""), text)
		assert.DeepEqual(t, ids, []int64{1, 2, -1, -1})
	}
	for cut := 1; cut < 15; cut++ {
		events, _, err := readAll(t, strings.NewReader(text[:15+cut]))
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "cut after %d bytes of the second event", cut)
		assert.DeepEqual(t, events, []string{text[:15]})
	}
}

// Guards against a connection error that is reported as the end of the stream.
func TestConnectionError(t *testing.T) {
	broken := errors.New("reset")
	_, _, err := readAll(t, io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(broken)))
	assert.Assert(t, errors.Is(err, broken))
}

// Guards against a stream without line endings that exhausts the memory.
func TestEventSizeLimit(t *testing.T) {
	_, _, err := readAll(t, strings.NewReader(strings.Repeat("x", 2*dhevent.MaxBytes)))
	assert.Equal(t, dhcode.Of(err), dhcode.RequestTooLarge)
}
