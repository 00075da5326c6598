package dhlog_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhlog"
	"dandelionhoist.example/dh/dhtimer"
)

// Guards against a log that grows without bound under load, and against lines
// of successful requests that displace those of failed ones.
func TestBudgets(t *testing.T) {
	var out bytes.Buffer
	timers := dhtimer.NewStepped()
	h := dhlog.New(slog.NewTextHandler(&out, nil), timers)
	h.Lines, h.Warnings = 3, 2
	log := slog.New(h).With("vm", "a")
	for range 10 {
		log.Info("answered")
		log.Warn("refused")
	}
	assert.Equal(t, strings.Count(out.String(), "msg=answered"), 3)
	assert.Equal(t, strings.Count(out.String(), "msg=refused"), 2)
	timers.Step(time.Second)
	log.Info("answered")
	assert.Assert(t, strings.Contains(out.String(), `msg="log lines left out" vm=a kind=answered lines=7`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `msg="log lines left out" vm=a kind=refused/warn lines=8`), out.String())
}

// blocked is an output that nobody reads.
type blocked struct{ entered, release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	close(b.entered)
	<-b.release
	return len(p), nil
}

// Guards against a reader of the log that stops reading and thereby stops the
// program.
func TestWriterNeverWaits(t *testing.T) {
	out := blocked{make(chan struct{}), make(chan struct{})}
	w := &dhlog.Writer{Out: out, Timers: dhtimer.NewStepped(), BufferBytes: 100}
	_, err := w.Write(bytes.Repeat([]byte("x"), 80))
	assert.NilError(t, err)
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		w.Flush()
	}()
	<-out.entered
	for range 5 {
		_, err = w.Write(bytes.Repeat([]byte("y"), 40))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), int64(3))
	close(out.release)
	<-flushed
}

// chunks notes each write.
type chunks struct{ writes []string }

func (c *chunks) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

// Guards against lines that a reader cuts off because one write holds too many
// of them (found in the output of the users' bench, which keeps 8 KB of each).
func TestWritesEndWithLines(t *testing.T) {
	out := &chunks{}
	w := &dhlog.Writer{Out: out, Timers: dhtimer.NewStepped()}
	var all strings.Builder
	for i := range 40 {
		line := strings.Repeat("x", 50*(i%7)+1) + "\n"
		if i == 20 {
			line = strings.Repeat("y", 6000) + "\n"
		}
		all.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	w.Flush()
	assert.Equal(t, strings.Join(out.writes, ""), all.String())
	assert.Assert(t, len(out.writes) > 2)
	for _, write := range out.writes {
		assert.Assert(t, strings.HasSuffix(write, "\n"))
		assert.Assert(t, len(write) <= 4096 || strings.Count(write, "\n") == 1)
	}
}
