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

// voterCount is the number of initial voters of a deployment. They are in different
// zones.
const voterCount = 3

// vmsPerZone maps a deployment to its number of entry VMs per zone.
var vmsPerZone = map[string]int{"tringles": 2, "kandy": 3}

// Deploy adds the entry VMs of a deployment and the number of backend servers that
// its tables specify, both distributed round-robin over the zones. It returns the
// text of the tables. Folder contains the deployment directories. If change is not
// nil, it is called on each backend server before it is added.
func (w *Simulation) Deploy(folder, name string, change func(*dhengine.Model)) (string, error) {
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
	for i := range vmsPerZone[name] * len(zones) {
		w.AddVM(fmt.Sprintf("%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], i < voterCount)
	}
	for _, pool := range slices.Sorted(maps.Keys(tables.Pools)) {
		w.deployPool(tables.Pools[pool], zones, change)
	}
	return string(data), nil
}

func (w *Simulation) deployPool(pool dhtable.Pool, zones []string, change func(*dhengine.Model)) {
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

// VMs returns the names of all entry VMs.
func (w *Simulation) VMs() []string { return w.vmNames }

// Engines returns the ids of all backend servers.
func (w *Simulation) Engines() []string { return w.engineIDs }

// Traffic sends the requests of a workload for the duration d. Answers have at
// most maxTokens tokens. Callers choose VMs that serve and retry like a client
// library.
func (w *Simulation) Traffic(name string, rate float64, d time.Duration, maxTokens int) error {
	workload, ok := dhworkload.ByName(name)
	if !ok {
		return fmt.Errorf("unknown workload %q", name)
	}
	g := dhworkload.NewGenerator(workload, dhworkload.Options{Seed: w.seed, Rate: rate, Run: "q"})
	for r := g.Next(); r.At < d; r = g.Next() {
		q := Request{
			ID: r.ID, Account: r.Account, Route: r.Class, Session: r.Session, Prompt: r.Prompt(),
			MaxTokens: min(r.AnswerTokens, maxTokens), Unary: r.Unary, DisconnectAfter: r.CancelAfter,
		}
		if r.Key != "" {
			q.Key = r.Key
		}
		w.Timers.After(r.At, func(time.Time) { w.send(q, false, 0) })
		if r.Resend {
			w.Timers.After(r.At+400*time.Millisecond, func(time.Time) { w.send(q, false, maxRetries) })
		}
	}
	return nil
}

// maxRetries is the number of times a caller retries after its first call.
const maxRetries = 4

// send sends a request to a VM that serves and retries it if it fails.
func (w *Simulation) send(q Request, resume bool, retries int) {
	vm := w.pickVM(q.ID, retries)
	if vm == "" {
		return
	}
	w.Ask(vm, q, resume, func(r *Reply) {
		if r.Complete || retries >= maxRetries {
			return
		}
		wait := max(r.RetryAfter, 300*time.Millisecond)
		switch {
		case r.Lost, r.Code == dhcode.StreamBroken, r.Code == dhcode.BackendFailed:
			again := q.Key == "" && !q.Unary && r.Text != ""
			w.Timers.After(wait, func(time.Time) { w.send(q, again, retries+1) })
		case r.Code == dhcode.AnswerNotKept, r.RetryAfter > 0:
			w.Timers.After(wait, func(time.Time) { w.send(q, false, retries+1) })
		}
	})
}

// pickVM returns a VM that serves, as the load balancer would, or an empty string if
// there is none.
func (w *Simulation) pickVM(id string, retries int) string {
	serving := slices.DeleteFunc(slices.Clone(w.vmNames), func(name string) bool { return !w.Serving(name) })
	if len(serving) == 0 {
		return ""
	}
	return serving[w.hash("pick", id, fmt.Sprint(retries))%uint64(len(serving))]
}
