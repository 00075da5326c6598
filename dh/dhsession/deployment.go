package dhsession

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhworkload"
)

// voterCount is the number of first voters of a deployment, in different zones.
const voterCount = 3

// deployments are the entry VMs in each zone.
var deployments = map[string]int{"tringles": 2, "kandy": 3}

// Deploy adds the entry VMs of a deployment and, in turn over the zones, as
// many backend servers as its tables say. It returns the tables' text. Folder
// holds the deployment's files.
func (w *World) Deploy(folder, name string, change func(*dhengine.Model)) (string, error) {
	data, err := os.ReadFile(filepath.Join(folder, name, "tables.json"))
	if err != nil {
		return "", err
	}
	tables, err := dhtable.Parse(name, data)
	if err != nil {
		return "", err
	}
	keys, err := os.ReadFile(filepath.Join(folder, name, "keys.json"))
	if err != nil {
		return "", err
	}
	if w.Keys, err = dhworkload.ParseKeys(name, keys); err != nil {
		return "", err
	}
	zones := slices.Sorted(maps.Keys(tables.Zones))
	for i := range deployments[name] * len(zones) {
		w.AddVM(fmt.Sprintf("%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], i < voterCount)
	}
	for _, pool := range slices.Sorted(maps.Keys(tables.Pools)) {
		w.deployPool(tables.Pools[pool], zones, change)
	}
	return string(data), nil
}

func (w *World) deployPool(pool dhtable.Pool, zones []string, change func(*dhengine.Model)) {
	n := 0
	for _, model := range slices.Sorted(maps.Keys(pool.Models)) {
		for _, v := range pool.Models[model].Versions {
			for range v.Replicas {
				m := &dhengine.Model{
					ID: fmt.Sprintf("%s-%d", pool.Name, n+1), Zone: zones[n%len(zones)], Pool: pool.Name, Kind: pool.Kind,
					Versions: []dhtable.Version{v.Version},
				}
				if change != nil {
					change(m)
				}
				w.AddEngine(m)
				n++
			}
		}
	}
}

// VMs returns the names of all entry VMs, Engines the ids of all backend servers.
func (w *World) VMs() []string { return w.names }

// Engines returns the ids of all backend servers.
func (w *World) Engines() []string { return w.order }

// Traffic sends the requests of a workload for d. Answers have at most
// maxTokens tokens. Callers go to VMs that serve and try again as a client
// library does.
func (w *World) Traffic(name string, rate float64, d time.Duration, maxTokens int) error {
	workload, ok := dhworkload.ByName(name)
	if !ok {
		return fmt.Errorf("there is no workload %q", name)
	}
	g := dhworkload.NewGenerator(workload, dhworkload.Options{Seed: w.seed, Rate: rate, Run: "q"})
	for r := g.Next(); r.At < d; r = g.Next() {
		q := Request{
			ID: r.ID, Account: r.Account, Route: r.Class, Session: r.Session, Prompt: r.Prompt(),
			MaxTokens: min(r.AnswerTokens, maxTokens), Unary: r.Unary, GiveUp: r.CancelAfter,
		}
		if r.Key != "" {
			q.Key = r.Key
		}
		w.Timers.After(r.At, func(time.Time) { w.try(q, false, 0) })
		if r.Resend {
			w.Timers.After(r.At+400*time.Millisecond, func(time.Time) { w.try(q, false, maxTries) })
		}
	}
	return nil
}

// maxTries is how often a caller tries after its first call.
const maxTries = 4

// try sends a request to a VM that serves and, when that fails, tries again.
func (w *World) try(q Request, resume bool, tries int) {
	vm := w.pick(q.ID, tries)
	if vm == "" {
		return
	}
	w.Ask(vm, q, resume, func(r *Reply) {
		if r.Complete || tries >= maxTries {
			return
		}
		wait := max(r.RetryAfter, 300*time.Millisecond)
		switch {
		case r.Lost, r.Code == dhcode.StreamBroken, r.Code == dhcode.BackendFailed:
			again := q.Key == "" && !q.Unary && r.Text != ""
			w.Timers.After(wait, func(time.Time) { w.try(q, again, tries+1) })
		case r.Code == dhcode.AnswerNotKept, r.RetryAfter > 0:
			w.Timers.After(wait, func(time.Time) { w.try(q, false, tries+1) })
		}
	})
}

// pick returns a VM that serves, as the balancer would.
func (w *World) pick(id string, tries int) string {
	serving := slices.DeleteFunc(slices.Clone(w.names), func(name string) bool { return !w.Serving(name) })
	if len(serving) == 0 {
		return ""
	}
	return serving[w.hash("pick", id, fmt.Sprint(tries))%uint64(len(serving))]
}
