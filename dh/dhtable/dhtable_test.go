package dhtable_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
)

func readTables(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("testdata/tringles.json")
	assert.NilError(t, err)
	return string(data)
}

// Guards against a request that runs on a version that its account may not use.
func TestAllowed(t *testing.T) {
	tables, err := dhtable.Parse("tringles.json", []byte(readTables(t)))
	assert.NilError(t, err)
	for text, want := range map[string]bool{
		"pine/v1": true, "oak/v1": true, "oak/v3": false, "oak/v0": false, "oak/v9": false,
	} {
		v, ok := dhtable.ParseVersion(text)
		assert.Assert(t, ok)
		assert.Equal(t, tables.Allowed("crew-east", "cut-lists", v), want, text)
	}
	account, ok := tables.AccountByKey("crew-east-key")
	assert.Assert(t, ok)
	assert.Equal(t, account.Name, "crew-east")
	_, ok = tables.AccountByKey("other")
	assert.Assert(t, !ok)
}

// Guards against invalid tables that are accepted, and against errors that do
// not locate the fault.
func TestParseRejectsInvalidTables(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"dangling join", `"pool": "atelier-llm"`, `"pool": "atelier"`, `tables:18:17: /routes/routes/cut-lists/pool: pool "atelier" does not exist`},
		{"shares", `"share": 95`, `"share": 90`, `add up to 95; expected 100`},
		{"withdrawn with a share", `{"stage": "withdrawn"}`, `{"stage": "withdrawn", "share": 5}`, `is withdrawn and cannot have a share`},
		{"unknown key", `"weight"`, `"wieght"`, `unknown key "wieght"; expected one of key-hashes`},
		{"key given twice", `"format": 1,`, `"format": 1, "format": 1,`, `key "format" is given twice`},
		{"unit", `"20s"`, `20`, `expected a duration with a unit`},
		{"type", `"max-tokens": 800`, `"max-tokens": "800"`, `expected a number`},
		{"unknown account", `"allow": {"crew-east"`, `"allow": {"crew-west"`, `account "crew-west" does not exist`},
		{"no version left", `["pine/*", "oak/v1", "oak/v2"]`, `["oak/v0"]`, `is withdrawn`},
	} {
		text := strings.Replace(readTables(t), c.old, c.new, 1)
		assert.Assert(t, text != readTables(t), c.name)
		_, err := dhtable.Parse("tables", []byte(text))
		assert.ErrorContains(t, err, c.want, c.name)
		assert.ErrorContains(t, err, "tables:", c.name)
		assert.Equal(t, dhcode.Of(err), dhcode.TablesInvalid)
	}
}

// Guards against a parser that panics on malformed input.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/tringles.json")
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"format": 1}`))
	f.Add([]byte(`{"routes": {"routes": {"a": {"pool": null}}}, /* */}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = dhtable.Parse("fuzz", data)
	})
}
