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
// of successful requests that use up the limit for lines of failed ones.
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

// blockedWriter is an output whose Write blocks until release is closed.
type blockedWriter struct{ entered, release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	close(b.entered)
	<-b.release
	return len(p), nil
}

// Guards against a log reader that stops reading and thereby blocks the program.
func TestWriterNeverBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{}), make(chan struct{})}
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

// writeRecorder records the data of each write.
type writeRecorder struct{ writes []string }

func (c *writeRecorder) Write(p []byte) (int, error) {
	c.writes = append(c.writes, string(p))
	return len(p), nil
}

// Guards against truncated lines: a collector that keeps only 8 KB of each write
// cuts a line in the middle when one write holds too many lines.
func TestWritesEndAtLineBoundaries(t *testing.T) {
	out := &writeRecorder{}
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
