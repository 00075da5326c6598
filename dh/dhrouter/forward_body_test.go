package dhrouter

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhlimit"
)

// endlessReader is a body without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against unbounded memory on a small VM when several dozen backend
// servers send without end: the memory of all answers together is bounded, all
// of it is released, and answers of usual size are not delayed.
func TestAnswersShareMemory(t *testing.T) {
	const most = 3 << 20
	memory := &dhlimit.Memory{Max: most}
	var held []*bufferedBody
	total := 0
	for range 40 {
		b, err := readAnswer(io.LimitReader(endlessReader{}, maxUnsizedBytes), -1, memory)
		assert.Assert(t, err == nil || errors.Is(err, errNoMemory))
		held = append(held, b)
		total += cap(b.data)
	}
	assert.Assert(t, total <= most+40*2*unsharedBytes, "%d bytes", total)
	usual, err := readAnswer(strings.NewReader(strings.Repeat("x", 5000)), 5000, memory)
	assert.NilError(t, err)
	assert.Equal(t, len(usual.data), 5000)
	_, err = readAnswer(endlessReader{}, -1, &dhlimit.Memory{Max: 1 << 30})
	assert.Assert(t, errors.Is(err, ErrEndless))
	for _, b := range append(held, usual) {
		b.release()
	}
	assert.Assert(t, memory.Reserve(most))
}

// Guards against a complete answer that is lost because other answers use up the
// memory, and against a truncated one that is taken for a complete one.
func TestAnswerWithoutMemoryIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := strings.Repeat("x", 3*unsharedBytes)
		sized := func(in *Inbound) { in.Length = int64(len(long)) }
		f := newTestRouter(t, reply(200, text(long), sized))
		w, _, err := f.ask(t, "order")
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), long)

		f = newTestRouter(t, reply(200, resetAfter(long), sized))
		_, begun, err := f.ask(t, "look")
		assert.Assert(t, begun)
		assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	})
}
