package dhworkload_test

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhworkload"
)

func generator(t *testing.T, name string) (dhworkload.Workload, *dhworkload.Generator) {
	t.Helper()
	w, ok := dhworkload.ByName(name)
	assert.Assert(t, ok)
	return w, dhworkload.NewGenerator(w, dhworkload.Options{Seed: 1, Rate: 50, Run: "r"})
}

// Guards against example tables that are faulty or refuse the workload's own
// requests, and against orders that could run twice.
func TestTablesAcceptWorkload(t *testing.T) {
	for _, name := range dhworkload.Names() {
		folder := "../../deploy/" + name
		data, err := os.ReadFile(folder + "/tables.json")
		assert.NilError(t, err)
		tables, err := dhtable.Parse(name, data)
		assert.NilError(t, err)
		data, err = os.ReadFile(folder + "/keys.json")
		assert.NilError(t, err)
		keys, err := dhworkload.ParseKeys(name, data)
		assert.NilError(t, err)
		w, g := generator(t, name)
		assert.Equal(t, len(tables.Accounts), len(w.Accounts))
		assert.Equal(t, len(tables.Routes), len(w.Classes))
		for range 5000 {
			r := g.Next()
			account, ok := tables.AccountByKey(keys[r.Account])
			assert.Assert(t, ok, r.Account)
			assert.Equal(t, account.Name, r.Account)
			assert.Assert(t, tables.RouteAllowed(r.Account, r.Class), "%s on %s", r.Account, r.Class)
			assert.Assert(t, r.AnswerTokens <= tables.Routes[r.Class].MaxTokens)
			assert.Equal(t, tables.Routes[r.Class].Repeatable, r.Key == "")
		}
	}
}

// Guards against runs that do not repeat, and against a mix that is not the
// workload's.
func TestMix(t *testing.T) {
	for _, name := range dhworkload.Names() {
		w, g := generator(t, name)
		_, again := generator(t, name)
		counts := make(map[string]float64)
		accounts := make(map[string]float64)
		const n = 20000
		var last time.Duration
		for i := range n {
			r, same := g.Next(), again.Next()
			if i%50 == 0 {
				assert.Equal(t, r.Prompt(), same.Prompt())
			}
			assert.Equal(t, r.ID+r.Key+r.Session+r.At.String(), same.ID+same.Key+same.Session+same.At.String())
			counts[r.Class]++
			accounts[r.Account]++
			last = r.At
		}
		// The standard deviation of the time of n arrivals is 1/sqrt(n) of its mean.
		assert.Assert(t, math.Abs(last.Seconds()*50/n-1) < 0.03, last)
		total := 0.0
		for _, c := range w.Classes {
			total += c.Weight
		}
		for _, c := range w.Classes {
			assert.Assert(t, math.Abs(counts[c.Name]/n-c.Weight/total) < 0.015, "%s: %v", c.Name, counts)
		}
		for _, a := range w.Accounts {
			assert.Assert(t, accounts[a.Name] > n/200, "%s: %v", a.Name, accounts)
		}
	}
}

// Guards against prompts whose stated sizes and shared beginnings are not
// those of the text, which would make measurements of prefix caches worthless.
func TestPrompts(t *testing.T) {
	_, g := generator(t, "tringles")
	first := make(map[string]dhworkload.Request)
	previous := make(map[string]dhworkload.Request)
	turns := 0
	for range 3000 {
		r := g.Next()
		prompt := r.Prompt()
		assert.Equal(t, len(prompt), r.PromptTokens*dhworkload.BytesPerToken)
		shared := prompt[:r.SharedTokens*dhworkload.BytesPerToken]
		key := r.Account + " " + r.Class
		if _, ok := first[key]; !ok {
			first[key] = r
		}
		if r.Turn == 0 {
			assert.Assert(t, strings.HasPrefix(first[key].Prompt(), shared))
		} else {
			turns++
			assert.Equal(t, shared, previous[r.Session].Prompt())
			assert.Assert(t, r.At-previous[r.Session].At >= 10*time.Second)
		}
		previous[r.Session] = r
	}
	assert.Assert(t, turns > 300, turns)
}
