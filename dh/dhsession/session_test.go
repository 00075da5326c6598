package dhsession_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhsession"
)

// Each session file provokes the failure that its first lines describe. The
// golden text guards against any change in what callers and operators observe.
func TestSession(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			text := run(t, archive)
			last := &archive.Files[len(archive.Files)-1]
			assert.Equal(t, last.Name, "golden")
			if golden.FlagUpdate() {
				last.Data = []byte(text)
				assert.NilError(t, os.WriteFile(file, txtar.Format(archive), 0o666))
				return
			}
			assert.Equal(t, text, string(last.Data))
		})
	}
}

func run(t *testing.T, archive *txtar.Archive) (text string) {
	cryptotest.SetGlobalRandom(t, 1)
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		w := dhsession.NewSimulation(1)
		defer w.Close()
		script := &dhsession.Script{Simulation: w, Folder: "testdata", Archive: archive}
		assert.NilError(t, script.Run())
		faults = w.History.Check()
		text = strings.Join(w.History.Lines(script.Skip), "\n") + "\n"
	})
	for _, fault := range faults {
		t.Error(fault)
	}
	return text
}
