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

// regressionSeeds returns the seeds that have failed in earlier runs.
func regressionSeeds(t *testing.T) []uint64 {
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

// Guards against guarantees that are violated under overlapping faults, with a
// short run of seed 1 and of each seed that has failed in earlier runs.
func TestSoakHasNoViolations(t *testing.T) {
	daemon := buildDaemon(t)
	for _, seed := range append([]uint64{1}, regressionSeeds(t)...) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			o, err := parseOptions([]string{
				"--program", daemon, "--folder", t.TempDir(), "--first-seed", strconv.FormatUint(seed, 10), "--storm", "6s", "--recovery", "5s", "--calm", "9s",
			})
			assert.NilError(t, err)
			var out, logs bytes.Buffer
			assert.NilError(t, run(t.Context(), o, &out, &logs), "%s%s", out.String(), logs.String())
			assert.Assert(t, cmp.Contains(out.String(), "violations 0"))
			assert.Assert(t, !strings.Contains(out.String(), "copies met 0,"), "no answer followed the copy of another")
			t.Log(out.String())
		})
	}
}

// Guards against accepting flags with which no run is possible.
func TestParseOptionsRejectsInvalid(t *testing.T) {
	for _, arguments := range [][]string{
		{}, {"--program", "x", "--parallel", "0"}, {"--program", "x", "--parallel", "61"}, {"--program", "x", "--storm", "0s"},
	} {
		_, err := parseOptions(arguments)
		assert.Assert(t, err != nil, "%q", arguments)
	}
	o, err := parseOptions([]string{"--program", "x"})
	assert.NilError(t, err)
	assert.Assert(t, o.firstSeed != 0)
	assert.Equal(t, o.storm, 10*time.Second)
}
