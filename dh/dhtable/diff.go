package dhtable

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind is the kind of a change to an entity or to one of its fields.
type ChangeKind int

// The kinds of changes.
const (
	Changed ChangeKind = iota // changed
	Added                     // added
	Removed                   // removed
)

// Change is one difference between two revisions of the tables.
type Change struct {
	Kind ChangeKind
	// Entity is one of route, pool, model, version, account and zone.
	Entity string
	// Name is the entity's name; models and versions are written
	// "pool/model" and "pool/model/version".
	Name string
	// Field is the name of a field as in the document, such as "share" or
	// "allow/crew-east". It is empty if the entity itself was added or removed;
	// its fields follow as changes of the same kind.
	Field string
	// Old and New are the values as text; a missing value is empty.
	Old, New string
}

// Diff returns the changes that turn before into after, sorted by entity and
// field. Comments and the order of keys in the documents are ignored.
func Diff(before, after *Tables) []Change {
	oldEntities, newEntities := entities(before), entities(after)
	var changes []Change
	for _, key := range slices.SortedFunc(maps.Keys(union(oldEntities, newEntities)), entityKey.compare) {
		oldFields, existed := oldEntities[key]
		newFields, exists := newEntities[key]
		kind := Changed
		switch {
		case !existed:
			kind = Added
		case !exists:
			kind = Removed
		}
		if kind != Changed {
			changes = append(changes, Change{Kind: kind, Entity: key.kind.String(), Name: key.name})
		}
		changes = append(changes, diffFields(kind, key, oldFields, newFields)...)
	}
	return changes
}

func diffFields(kind ChangeKind, key entityKey, before, after map[string]string) []Change {
	names := maps.Clone(before)
	if names == nil {
		names = make(map[string]string, len(after))
	}
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] != after[name] {
			changes = append(changes, Change{
				Kind: kind, Entity: key.kind.String(), Name: key.name, Field: name, Old: before[name], New: after[name],
			})
		}
	}
	return changes
}

type entityKind int

const (
	routeEntity   entityKind = iota // route
	poolEntity                      // pool
	modelEntity                     // model
	versionEntity                   // version
	accountEntity                   // account
	zoneEntity                      // zone
)

type entityKey struct {
	kind entityKind
	name string
}

func (k entityKey) compare(other entityKey) int {
	if k.kind != other.kind {
		return int(k.kind) - int(other.kind)
	}
	return strings.Compare(k.name, other.name)
}

func union(a, b map[entityKey]map[string]string) map[entityKey]map[string]string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// entities returns the fields of every entity as text; an empty value means the
// field's default.
func entities(t *Tables) map[entityKey]map[string]string {
	all := make(map[entityKey]map[string]string)
	for name, r := range t.Routes {
		all[entityKey{routeEntity, name}] = routeFields(r)
	}
	for name, p := range t.Pools {
		all[entityKey{poolEntity, name}] = map[string]string{"kind": p.Kind.String()}
		for model, m := range p.Models {
			all[entityKey{modelEntity, name + "/" + model}] = map[string]string{
				"cost-per-1000-tokens": formatNumber(m.CostPer1000Tokens), "on-hold": m.OnHold.String(),
			}
			for _, e := range m.Versions {
				all[entityKey{versionEntity, name + "/" + e.String()}] = map[string]string{
					"stage": e.Stage.String(), "share": formatNumber(e.Share), "replicas": strconv.Itoa(e.Replicas),
				}
			}
		}
	}
	for name, a := range t.Accounts {
		all[entityKey{accountEntity, name}] = accountFields(a)
	}
	for name, z := range t.Zones {
		all[entityKey{zoneEntity, name}] = map[string]string{"region": z.Region, "out": strconv.FormatBool(z.OutOfService)}
	}
	return all
}

func routeFields(r Route) map[string]string {
	fields := map[string]string{
		"pool": r.Pool, "repeatable": strconv.FormatBool(r.Repeatable), "class": r.Class,
		"priority": strconv.Itoa(r.Priority), "deadline": r.Deadline.String(),
		"max-tokens": strconv.Itoa(r.MaxTokens), "quality-target": formatNumber(r.QualityTarget),
		"latency-sensitive": strconv.FormatBool(r.LatencySensitive), "cascade": strings.Join(r.Cascade, " "),
	}
	for account, patterns := range r.Allow {
		fields["allow/"+account] = strings.Join(slices.Sorted(slices.Values(patterns)), " ")
	}
	return fields
}

func accountFields(a Account) map[string]string {
	hashes := make([]string, 0, len(a.KeyHashes))
	for _, h := range a.KeyHashes {
		hashes = append(hashes, h.String())
	}
	slices.Sort(hashes)
	return map[string]string{
		"key-hashes": strings.Join(hashes, " "), "weight": strconv.Itoa(a.Weight),
		"requests-per-second": formatNumber(a.RequestsPerSecond), "burst": strconv.Itoa(a.Burst),
		"concurrency": strconv.Itoa(a.Concurrency),
	}
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
