package dhversion_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhversion"
)

var (
	oakV1 = dhtable.Version{Model: "oak", Name: "v1"}
	oakV2 = dhtable.Version{Model: "oak", Name: "v2"}
)

// tables returns tables in which the model oak has the given versions.
func tables(t testing.TB, revision uint64, onHold, versions string) *dhtable.Tables {
	t.Helper()
	text := `{"format": 1, "routes": {"accounts": {"crew": {}, "other": {}}, "routes": {
		"r": {"pool": "p", "deadline": "5s", "max-tokens": 10, "cascade": ["pine", "oak"],
			"allow": {"crew": ["pine/*", "oak/*"], "other": ["pine/*", "oak/v1"]}}}},
		"pools": {"pools": {"p": {"kind": "engine", "models": {
			"pine": {"versions": {"v1": {"stage": "stable", "share": 100}}},
			"oak": {"on-hold": "` + onHold + `", "versions": {` + versions + `}}}}}}}`
	parsed, err := dhtable.Parse("test", []byte(text))
	assert.NilError(t, err)
	return parsed.WithRevision(revision)
}

func rollout(t testing.TB, revision uint64, share int) *dhtable.Tables {
	return tables(t, revision, "new-sessions", stages("stable", 100-share, "rollout", share))
}

func stages(s1 string, n1 int, s2 string, n2 int) string {
	return fmt.Sprintf(`"v1": {"stage": %q, "share": %d}, "v2": {"stage": %q, "share": %d}`, s1, n1, s2, n2)
}

func input(t *dhtable.Tables, id, token string) dhversion.Input {
	return dhversion.Input{Tables: t, Account: "crew", Route: "r", SessionID: id, Token: token, Model: "oak"}
}

var chooser = dhversion.Chooser{Keys: [][]byte{[]byte("one")}}

// Guards against sessions that move when the share of a rollout changes: with
// their token in any case, and without it when the share is raised. Also checks
// that the share of sessions on the rollout is about right.
func TestSharesMoveNoSession(t *testing.T) {
	low, high := rollout(t, 1, 5), rollout(t, 2, 30)
	count := 0
	for i := range 4000 {
		id := fmt.Sprint("session-", i)
		first, err := chooser.Choose(input(low, id, ""))
		assert.NilError(t, err)
		next, err := chooser.Choose(input(high, id, first.Token))
		assert.NilError(t, err)
		assert.Equal(t, next, dhversion.Choice{Version: first.Version, Token: first.Token, Pinned: true})
		lost, err := chooser.Choose(input(high, id, ""))
		assert.NilError(t, err)
		if first.Version == oakV2 {
			count++
			assert.Equal(t, lost.Version, oakV2)
		}
	}
	assert.Assert(t, count > 150 && count < 250, "5%% of 4000 sessions: %d", count)
}

// Guards against requests on a version that its stage, the allow list, a hold or
// an expired tables lease forbids, and against a session that moves without
// Moved being set.
func TestWhatAPinnedSessionGets(t *testing.T) {
	held := holdOf(t, rollout(t, 1, 5))
	before := tables(t, 1, "new-sessions", stages("stable", 50, "rollout", 50))
	cases := []struct {
		name, onHold, versions string
		holds                  *dhversion.Holds
		lapsed                 bool
		pinned, fresh          string // version or code
	}{
		{"draining", "new-sessions", stages("stable", 100, "draining", 0), nil, false, "oak/v2", "oak/v1"},
		{"withdrawn", "new-sessions", stages("stable", 100, "withdrawn", 0), nil, false, "moved oak/v1", "oak/v1"},
		{"held", "new-sessions", stages("stable", 95, "rollout", 5), held, false, "oak/v2", "oak/v1"},
		{"held for all", "all", stages("stable", 95, "rollout", 5), held, false, "moved oak/v1", "oak/v1"},
		{"hold ignored", "ignore", stages("stable", 0, "rollout", 100), held, false, "oak/v2", "oak/v2"},
		{"lease", "all", stages("stable", 0, "rollout", 100), nil, true, "tables-lease-lapsed", "oak/v1"},
		{"lease, draining", "all", stages("stable", 100, "draining", 0), nil, true, "tables-lease-lapsed", "oak/v1"},
		{"nothing", "all", stages("withdrawn", 0, "draining", 0), nil, false, "oak/v2", "version-not-allowed"},
		{"no new work", "all", stages("withdrawn", 0, "rollout", 100), held, false, "version-not-allowed", "version-not-allowed"},
		{"no stable", "all", stages("withdrawn", 0, "rollout", 100), nil, true, "tables-lease-lapsed", "tables-lease-lapsed"},
	}
	for _, c := range cases {
		s := ""
		for i := 0; s == ""; i++ {
			choice, err := chooser.Choose(input(before, fmt.Sprint(i), ""))
			assert.NilError(t, err)
			if choice.Version == oakV2 {
				s = choice.Token
			}
		}
		for token, want := range map[string]string{s: c.pinned, "": c.fresh} {
			in := input(tables(t, 1, c.onHold, c.versions), "", token)
			in.Holds, in.LeaseExpired = c.holds, c.lapsed
			choice, err := chooser.Choose(in)
			got := choice.Version.String()
			if err != nil {
				got = dhcode.Of(err).String()
			} else {
				assert.NilError(t, dhversion.Usable(in, choice), c.name)
			}
			if choice.Moved {
				got = "moved " + got
			}
			assert.Equal(t, got, want, "%s, token %t", c.name, token != "")
		}
	}
}

// Guards against a retry, hedge or escalation on a version that was withdrawn or
// put on hold, or whose tables lease expired, after the choice.
func TestUsableFollowsTheNewestState(t *testing.T) {
	in := input(rollout(t, 1, 5), "s", "")
	choice := dhversion.Choice{Version: oakV2}
	assert.NilError(t, dhversion.Usable(in, choice))
	in.LeaseExpired = true
	assert.Equal(t, dhcode.Of(dhversion.Usable(in, choice)), dhcode.TablesLeaseLapsed)
	in.LeaseExpired, in.Holds = false, holdOf(t, in.Tables)
	assert.Equal(t, dhcode.Of(dhversion.Usable(in, choice)), dhcode.VersionNotAllowed)
	in.Holds, in.Tables = nil, tables(t, 2, "all", stages("stable", 100, "withdrawn", 0))
	assert.Equal(t, dhcode.Of(dhversion.Usable(in, choice)), dhcode.VersionNotAllowed)
	in.Account, choice.Version = "other", oakV1
	assert.NilError(t, dhversion.Usable(in, choice))
	assert.DeepEqual(t, dhversion.Models(in), []string{"pine", "oak"})
}

// Guards against a token that is accepted for another account, route or session,
// after any byte was changed, or with an unknown key. Also guards against a key
// rotation that ends sessions.
func TestTokensAreBound(t *testing.T) {
	now := rollout(t, 1, 5)
	first, err := chooser.Choose(input(now, "s", ""))
	assert.NilError(t, err)
	assertInvalid := func(c dhversion.Chooser, in dhversion.Input) {
		t.Helper()
		_, err := c.Choose(in)
		assert.Equal(t, dhcode.Of(err), dhcode.SessionTokenInvalid)
	}
	in := input(now, "s", first.Token)
	in.Account = "other"
	assertInvalid(chooser, in)
	assertInvalid(chooser, input(now, "s2", first.Token))
	assertInvalid(chooser, input(now, "s", strings.Repeat("A", 5000)))
	assertInvalid(dhversion.Chooser{Keys: [][]byte{[]byte("two")}}, input(now, "s", first.Token))
	rapid.Check(t, func(r *rapid.T) {
		b := []byte(first.Token)
		i := rapid.IntRange(0, len(b)-1).Draw(r, "at")
		b[i] = rapid.ByteRange('A', 'Z').Filter(func(x byte) bool { return x != b[i] }).Draw(r, "byte")
		_, err := chooser.Choose(input(now, "s", string(b)))
		assert.Equal(r, dhcode.Of(err), dhcode.SessionTokenInvalid)
	})
	rotated := dhversion.Chooser{Keys: [][]byte{[]byte("two"), []byte("one")}}
	second, err := rotated.Choose(input(now, "", first.Token))
	assert.NilError(t, err)
	assert.Assert(t, second.Pinned && second.Token != first.Token)
	assertInvalid(chooser, input(now, "s", second.Token))
	// An escalation adds a pin and keeps the others.
	in = input(now, "s", second.Token)
	in.Model = "pine"
	third, err := rotated.Choose(in)
	assert.NilError(t, err)
	fourth, err := rotated.Choose(input(now, "s", third.Token))
	assert.NilError(t, err)
	assert.Assert(t, !third.Moved && fourth.Pinned && fourth.Version == first.Version)
}

// Guards against a token parser that panics on malformed tokens.
func FuzzToken(f *testing.F) {
	now := rollout(f, 1, 5)
	f.Add("AQFzAQNvYWsCdjE")
	f.Add("")
	f.Fuzz(func(_ *testing.T, token string) {
		_, _ = chooser.Choose(input(now, "s", token))
	})
}

// Guards against a change of the token format that ends the sessions of the
// previous release.
func TestTokenOfFormat1(t *testing.T) {
	const token = "AQZnb2xkZW4BA29hawJ2MfInnJ4JXEKsHbTmX7EmpgEAqQEideKgzy8DF2ihEb7C"
	in := input(tables(t, 1, "all", stages("stable", 95, "rollout", 5)), "golden", token)
	choice, err := chooser.Choose(in)
	assert.NilError(t, err)
	assert.Equal(t, choice, dhversion.Choice{Version: oakV1, Token: token, Pinned: true})
}
