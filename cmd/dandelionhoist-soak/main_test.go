package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// buildDaemon builds the program that the soak runs.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dandelionhoistd")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "dandelionhoist.example/cmd/dandelionhoistd").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// regressions returns the seeds that have failed before.
func regressions(t *testing.T) []uint64 {
	t.Helper()
	data, err := os.ReadFile("testdata/regressions.txt")
	assert.NilError(t, err)
	var seeds []uint64
	for line := range strings.Lines(string(data)) {
		number, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if number == "" || number == "#" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		assert.NilError(t, err, "%s", line)
		seeds = append(seeds, seed)
	}
	return seeds
}

// Guards against a promise that breaks under overlapping faults: a short run of
// one seed, and those that have failed before.
func TestSoakKeepsPromises(t *testing.T) {
	daemon := buildDaemon(t)
	for _, seed := range append([]uint64{1}, regressions(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			o, err := parse([]string{
				"--program", daemon, "--folder", t.TempDir(), "--first-seed", strconv.FormatUint(seed, 10), "--storm", "6s", "--recovery", "5s", "--calm", "9s",
			})
			assert.NilError(t, err)
			var out, logs bytes.Buffer
			assert.NilError(t, run(t.Context(), o, &out, &logs), "%s%s", out.String(), logs.String())
			assert.Assert(t, cmp.Contains(out.String(), "violations 0"))
			t.Log(out.String())
		})
	}
}

// Guards against flags that are taken although no run can use them.
func TestParseRefusesOptions(t *testing.T) {
	for _, arguments := range [][]string{
		{}, {"--program", "x", "--parallel", "0"}, {"--program", "x", "--parallel", "61"}, {"--program", "x", "--storm", "0s"},
	} {
		_, err := parse(arguments)
		assert.Assert(t, err != nil, "%q", arguments)
	}
	o, err := parse([]string{"--program", "x"})
	assert.NilError(t, err)
	assert.Assert(t, o.firstSeed != 0)
	assert.Equal(t, o.storm, 10*time.Second)
}
