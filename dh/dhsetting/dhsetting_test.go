package dhsetting_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhsetting"
)

const validSettings = `{
  "format": 1, "name": "entry-1", "zone": "mrc-a", "region": "mauricie",
  // Two entry VMs in this zone.
  "peers": {"seeds": ["10.1.0.5:8082"], "zone-slot": 1, "zone-slots": 2, "entry-vms": 8},
  "keys": {"peer-file": "peer.key", "operator-file": "operators", "session-file": "session.key"},
  "listen": {"callers": "0.0.0.0:8080", "peers": "10.1.0.4:8082"},
  "state": {"folder": "data", "voters": [
    {"address": "10.1.0.4:8082", "zone": "mrc-a"}, {"address": "10.2.0.4:8082", "zone": "mrc-b"},
    {"address": "10.3.0.4:8082", "zone": "mrc-c"}]},
  "timing": {"tables-lease": "3s"},
}`

// Guards against a daemon that starts with unknown keys or invalid values in
// its settings.
func TestParseRejectsInvalidSettings(t *testing.T) {
	_, err := dhsetting.Parse("s", []byte(validSettings))
	assert.NilError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{`"zone-slot": 1`, `"zone-slto": 1`, `s:4:41: unknown key "zone-slto"; expected one of seeds, zone-slot`},
		{`"3s"`, `3`, `s:10:30: expected a duration with a unit`},
		{`"3s"`, `"0s"`, `s:10:30: /timing/tables-lease: expected a value above zero`},
		{`"peers": "10.1.0.4:8082"`, `"peers": "entry-1:8082"`, `is not an IP address and port`},
		{`"peers": "10.1.0.4:8082"`, `"peers": "0.0.0.0:8082"`, `names no VM`},
		{`"zone-slot": 1`, `"zone-slot": 2`, `is not between 0 and`},
		{`"folder": "data", `, ``, `voter "entry-1" needs a folder`},
		{`{"address": "10.3.0.4:8082", "zone": "mrc-c"}`, ``, `expected 1, 3 or 5 voters, found 2`},
		{`"callers"`, `"cert-file": "c.pem", "callers"`, `must be given together`},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		assert.Assert(t, text != validSettings, c.old)
		_, err := dhsetting.Parse("s", []byte(text))
		assert.ErrorContains(t, err, c.want)
		assert.Equal(t, dhcode.Of(err), dhcode.SettingsInvalid)
	}
}

// Guards against printed defaults with keys or values that the parser rejects.
// The only error is the name, which has no default.
func TestDescribeParses(t *testing.T) {
	text := dhsetting.Describe()
	_, err := dhsetting.Parse("defaults", []byte(text))
	assert.ErrorContains(t, err, "/name: expected a value")
	assert.Assert(t, !strings.Contains(text, "// \n"), "a setting has no description")
}

// Guards against a panic of the parser on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"timing": []}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = dhsetting.Parse("fuzz", data)
	})
}
