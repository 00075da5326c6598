package dhcapacity_test

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhcapacity"
)

var collect = flag.String("collect", "", "measure with the commands that match this pattern and write docs/capacity.json")

const (
	dataFile = "../../docs/capacity.json"
	pageFile = "../../docs/CAPACITY.md"
)

// TestCollect measures; it runs for some minutes.
func TestCollect(t *testing.T) {
	if *collect == "" {
		t.Skip("measures only with -collect")
	}
	pattern, err := regexp.Compile(*collect)
	assert.NilError(t, err)
	old, err := dhcapacity.Load(dataFile)
	assert.NilError(t, err)
	d, err := dhcapacity.Collect(t.Context(), "../..", pattern, old)
	assert.NilError(t, err)
	assert.NilError(t, d.Save(dataFile))
}

// Guards against figures on the page that do not follow from the measured slopes.
func TestPageFollowsFromData(t *testing.T) {
	d, err := dhcapacity.Load(dataFile)
	assert.NilError(t, err)
	want, err := dhcapacity.Render(d)
	assert.NilError(t, err)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pageFile, []byte(want), 0o644))
	}
	got, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run go test ./dh/dhcapacity -update")
}

// Guards against slopes from fewer than three sizes, which show no slope.
func TestThreeSizes(t *testing.T) {
	d, err := dhcapacity.Load(dataFile)
	assert.NilError(t, err)
	for _, s := range d.Slopes {
		sizes := make(map[float64]bool)
		for _, p := range s.Points {
			sizes[p.Size] = true
		}
		assert.Assert(t, len(sizes) >= 3, "%s has %d sizes", s.Name, len(sizes))
	}
}
