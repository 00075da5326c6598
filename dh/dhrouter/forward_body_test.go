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

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Answers the pattern of several dozen backend servers that send without end,
// on a small VM: what their answers hold together is bounded, all of it is given
// back, and usual answers are not held up.
func TestAnswersShareMemory(t *testing.T) {
	const most = 3 << 20
	memory := &dhlimit.Memory{Max: most}
	var held []*plainBody
	total := 0
	for range 40 {
		b, err := readPlain(io.LimitReader(endless{}, maxUnsizedBytes), -1, memory)
		assert.Assert(t, err == nil || errors.Is(err, errNoMemory))
		held = append(held, b)
		total += cap(b.data)
	}
	assert.Assert(t, total <= most+40*2*ownPlainBytes, "%d bytes", total)
	usual, err := readPlain(strings.NewReader(strings.Repeat("x", 5000)), 5000, memory)
	assert.NilError(t, err)
	assert.Equal(t, len(usual.data), 5000)
	_, err = readPlain(endless{}, -1, &dhlimit.Memory{Max: 1 << 30})
	assert.Assert(t, errors.Is(err, errEndless))
	for _, b := range append(held, usual) {
		b.release()
	}
	assert.Assert(t, memory.Take(most))
}

// Guards against a ready answer that is lost because other answers have the
// memory, and against a part of one that looks whole.
func TestAnswerWithoutMemoryIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := strings.Repeat("x", 3*ownPlainBytes)
		sized := func(in *Inbound) { in.Length = int64(len(long)) }
		f := newForwarder(t, reply(200, text(long), sized))
		w, _, err := f.ask(t, "order")
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), long)

		f = newForwarder(t, reply(200, broken(long), sized))
		_, begun, err := f.ask(t, "look")
		assert.Assert(t, begun)
		assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
	})
}
