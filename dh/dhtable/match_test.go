package dhtable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhtable"
)

// Guards against a request that matches the route of a shorter prefix or of
// another host.
func TestFindLongestPrefix(t *testing.T) {
	route := func(name, host, prefix string) dhtable.Route {
		return dhtable.Route{Name: name, Forwarding: dhtable.Forwarding{Match: dhtable.Match{Host: host, PathPrefix: prefix}}}
	}
	tables := dhtable.New(1, nil, map[string]dhtable.Route{
		"root": route("root", "a.example", "/"), "orders": route("orders", "a.example", "/orders/"),
		"new": route("new", "a.example", "/orders/new/"), "other": route("other", "b.example", "/orders/"),
		"by-name": {Name: "by-name"},
	}, nil, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/orders/new/1", "new"},
		{"a.example", "/orders/newer", "orders"},
		{"a.example", "/x", "root"},
		{"b.example", "/orders/1", "other"},
		{"b.example", "/x", ""},
		{"", "/x", ""},
	} {
		r, ok := tables.FindRoute(c.host, c.path)
		if c.want == "" {
			assert.Assert(t, !ok, c.path)
			continue
		}
		assert.Assert(t, ok, c.path)
		assert.Equal(t, r.Name, c.want)
	}
}

// Guards against requests that are not distributed in proportion to the weights,
// and against a target of weight 0 that receives requests.
func TestTargetFollowsWeights(t *testing.T) {
	r := dhtable.Route{Forwarding: dhtable.Forwarding{Split: []dhtable.Target{{Pool: "a", Weight: 90}, {Pool: "none"}, {Pool: "b", Weight: 10}}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Target(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	unsplit := dhtable.Route{Pool: "c"}
	assert.Equal(t, unsplit.Target(0.5), "c")
}
