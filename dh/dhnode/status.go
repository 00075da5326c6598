package dhnode

import (
	"slices"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhrouter"
	"dandelionhoist.example/dh/dhtable"
)

// Status returns this VM's view of entry VMs, pools, versions and histograms.
func (n *Node) Status() *dhpb.StatusResponse {
	s := n.Router.Snapshot()
	out := &dhpb.StatusResponse{Revision: n.Revisions.NewestNumber(), Vms: n.vmStatus()}
	if s.Tables != nil {
		n.poolStatus(s, out)
	}
	for _, row := range n.Metrics.Rows() {
		out.Histograms = append(out.Histograms, &dhpb.HistogramStatus{
			Name: row.Kind, Label: row.Label, Count: row.Count, P50Ms: row.P50, P95Ms: row.P95, P99Ms: row.P99,
		})
	}
	return out
}

func (n *Node) vmStatus() []*dhpb.VMStatus {
	var list []*dhpb.VMStatus
	for _, m := range n.Members.View().All() {
		role := "entry"
		switch {
		case m.VoterID != "" && n.IsVoter(m.VoterID):
			role = "voter"
		case m.HasDisk:
			role = "spare"
		}
		state := m.State.String()
		if m.Name == n.Settings.Name {
			state = n.ownState()
		}
		list = append(list, &dhpb.VMStatus{Name: m.Name, Zone: m.Zone, Role: role, State: state, Revision: m.Revision})
	}
	return list
}

func (n *Node) ownState() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case !n.started.Load():
		return "starting"
	case n.Router.Snapshot().LeaseExpired:
		return "stale"
	}
	return dhmember.Alive.String()
}

func (n *Node) poolStatus(s *dhrouter.Snapshot, out *dhpb.StatusResponse) {
	names := make([]string, 0, len(s.Tables.Pools))
	for name := range s.Tables.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out.Pools = append(out.Pools, backendStatus(s, name)...)
		models := s.Tables.Pools[name].Models
		modelNames := make([]string, 0, len(models))
		for model := range models {
			modelNames = append(modelNames, model)
		}
		slices.Sort(modelNames)
		for _, model := range modelNames {
			for _, e := range models[model].Versions {
				out.Versions = append(out.Versions, n.versionStatus(s, name, e))
			}
		}
	}
}

func backendStatus(s *dhrouter.Snapshot, pool string) []*dhpb.PoolStatus {
	byState := make(map[dhbackend.State]*dhpb.PoolStatus)
	for _, b := range s.Backends.Pool(pool) {
		row := byState[b.State]
		if row == nil {
			row = &dhpb.PoolStatus{Pool: pool, State: b.State.String()}
			byState[b.State] = row
		}
		row.Replicas++
		row.InFlight += int32(b.Running)
		row.Slots += int32(b.Slots)
	}
	var rows []*dhpb.PoolStatus
	for state := dhbackend.Cold; state <= dhbackend.Leaving; state++ {
		if row := byState[state]; row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}

func (n *Node) versionStatus(s *dhrouter.Snapshot, pool string, e dhtable.VersionEntry) *dhpb.VersionStatus {
	count := n.rates.Load().get(pool, e.Version)
	row := &dhpb.VersionStatus{
		Pool: pool, Model: e.Model, Version: e.Name, Stage: e.Stage.String(), Share: e.Share,
		Answers: count.Answers, Errors: count.Bad, Held: s.Holds.Held(pool, e.Version),
	}
	if count.Answers > 0 {
		row.Quality = 1 - float64(count.Bad)/float64(count.Answers)
	}
	return row
}

// rates holds the answer counts of versions at the last tick. It is immutable.
type rates struct{ byVersion map[rateKey]rate }

type rateKey struct {
	pool    string
	version dhtable.Version
}

type rate struct{ Answers, Bad int64 }

func (r *rates) get(pool string, v dhtable.Version) rate {
	if r == nil {
		return rate{}
	}
	return r.byVersion[rateKey{pool, v}]
}

// storeRates stores the answer counts that Status reports.
func (n *Node) storeRates(t *dhtable.Tables) {
	r := &rates{byVersion: make(map[rateKey]rate)}
	for pool, p := range t.Pools {
		for _, m := range p.Models {
			for _, e := range m.Versions {
				c := n.Evidence.Rate(pool, e.Version)
				r.byVersion[rateKey{pool, e.Version}] = rate{c.Answers, c.Bad}
			}
		}
	}
	n.rates.Store(r)
}
