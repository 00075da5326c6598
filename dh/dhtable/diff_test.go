package dhtable_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhtable"
)

// Guards against an edit that Diff omits, and against a change of comments or of
// the order of patterns that Diff reports as an edit.
func TestDiff(t *testing.T) {
	text := readTables(t)
	old, err := dhtable.Parse("old", []byte(text))
	assert.NilError(t, err)
	edited := strings.NewReplacer(
		`// Tables of the`, `// Other tables of the`,
		`["pine/*", "oak/v1", "oak/v2"]`, `["oak/v2", "oak/v1", "pine/*"]`,
		`"stage": "stable", "share": 95`, `"stage": "stable", "share": 75`,
		`"share": 5,`, `"share": 25,`,
		`"mrc-d": {"region": "mauricie"}`, `"mrc-d": {"region": "mauricie", "out": true}, "mrc-e": {"region": "mauricie"}`,
		`"v0": {"stage": "withdrawn"},`, ``,
		`"retailers": ["pine/*"]`, `"retailers": ["pine/*", "oak/v1"]`,
		`"burst": 40`, `"burst": 80`,
	).Replace(text)
	changed, err := dhtable.Parse("new", []byte(edited))
	assert.NilError(t, err)
	assert.Equal(t, len(dhtable.Diff(old, old)), 0)
	assert.Equal(t, formatChanges(dhtable.Diff(old, changed)), `changed route finish-questions allow/retailers: pine/* -> oak/v1 pine/*
removed version atelier-llm/oak/v0 :  -> 
removed version atelier-llm/oak/v0 replicas: 0 -> 
removed version atelier-llm/oak/v0 share: 0 -> 
removed version atelier-llm/oak/v0 stage: withdrawn -> 
changed version atelier-llm/oak/v1 share: 95 -> 75
changed version atelier-llm/oak/v2 share: 5 -> 25
changed account retailers burst: 40 -> 80
changed zone mrc-d out: false -> true
added zone mrc-e :  -> 
added zone mrc-e out:  -> false
added zone mrc-e region:  -> mauricie
`)
	reversed := dhtable.Diff(changed, old)
	assert.Equal(t, len(reversed), len(dhtable.Diff(old, changed)))
	assert.Equal(t, reversed[1].Kind, dhtable.Added)
}

func formatChanges(changes []dhtable.Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s %s %s %s: %s -> %s\n", c.Kind, c.Entity, c.Name, c.Field, c.Old, c.New)
	}
	return b.String()
}
