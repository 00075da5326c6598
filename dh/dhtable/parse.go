package dhtable

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhjson"
)

type document struct {
	Format int         `json:"format"`
	Routes routesTable `json:"routes"`
	Pools  poolsTable  `json:"pools"`
}

type routesTable struct {
	Accounts map[string]accountRow `json:"accounts"`
	Routes   map[string]routeRow   `json:"routes"`
}

type accountRow struct {
	KeyHashes         []string `json:"key-hashes"`
	Weight            int      `json:"weight"`
	RequestsPerSecond float64  `json:"requests-per-second"`
	Burst             int      `json:"burst"`
	Concurrency       int      `json:"concurrency"`
}

type routeRow struct {
	Pool             string              `json:"pool"`
	Repeatable       bool                `json:"repeatable"`
	Class            string              `json:"class"`
	Priority         int                 `json:"priority"`
	Deadline         dhjson.Duration     `json:"deadline"`
	MaxTokens        int                 `json:"max-tokens"`
	QualityTarget    float64             `json:"quality-target"`
	LatencySensitive bool                `json:"latency-sensitive"`
	Cascade          []string            `json:"cascade"`
	Allow            map[string][]string `json:"allow"`
}

type poolsTable struct {
	Zones map[string]zoneRow `json:"zones"`
	Pools map[string]poolRow `json:"pools"`
}

type zoneRow struct {
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

type poolRow struct {
	Kind   string              `json:"kind"`
	Models map[string]modelRow `json:"models"`
}

type modelRow struct {
	Cost     float64               `json:"cost-per-1000-tokens"`
	OnHold   string                `json:"on-hold"`
	Versions map[string]versionRow `json:"versions"`
}

type versionRow struct {
	Stage    string  `json:"stage"`
	Share    float64 `json:"share"`
	Replicas int     `json:"replicas"`
}

// Parse parses and validates a document. The name is used in error messages.
// Errors carry the code tables-invalid and start with name, row and column.
func Parse(name string, data []byte) (*Tables, error) {
	t, err := parse(name, data)
	return t, dhcode.Wrap(dhcode.TablesInvalid, err)
}

func parse(name string, data []byte) (*Tables, error) {
	if len(data) > MaxBytes {
		return nil, dhcode.Errorf(dhcode.TablesInvalid, "%s: %d bytes, at most %d are accepted", name, len(data), MaxBytes)
	}
	doc, err := dhjson.Parse(name, data)
	if err != nil {
		return nil, err
	}
	var d document
	if err := doc.Decode(&d); err != nil {
		return nil, err
	}
	b := builder{doc: doc, tables: &Tables{
		Accounts: make(map[string]Account, len(d.Routes.Accounts)),
		Routes:   make(map[string]Route, len(d.Routes.Routes)),
		Pools:    make(map[string]Pool, len(d.Pools.Pools)),
		Zones:    make(map[string]Zone, len(d.Pools.Zones)),
		byKey:    make(map[KeyHash]string),
		text:     data,
	}}
	if err := b.build(d); err != nil {
		return nil, err
	}
	return b.tables, nil
}

// builder converts decoded rows into entities and validates them and the
// references between them. Errors locate the fault by its JSON pointer.
type builder struct {
	doc    dhjson.Document
	tables *Tables
}

func (b builder) build(d document) error {
	if d.Format != Format {
		return b.doc.Errorf("/format", "format %d is not supported; expected %d", d.Format, Format)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Pools.Zones)) {
		row := d.Pools.Zones[name]
		b.tables.Zones[name] = Zone{Name: name, Region: row.Region, OutOfService: row.Out}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Pools.Pools)) {
		if err := b.pool(name, d.Pools.Pools[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Routes.Accounts)) {
		if err := b.account(name, d.Routes.Accounts[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Routes.Routes)) {
		if err := b.route(name, d.Routes.Routes[name]); err != nil {
			return err
		}
	}
	return nil
}

func (b builder) account(name string, row accountRow) error {
	pointer := dhjson.Pointer("routes", "accounts", name)
	if row.Weight < 0 || row.RequestsPerSecond < 0 || row.Burst < 0 || row.Concurrency < 0 {
		return b.doc.Errorf(pointer, "weight and limits must not be negative")
	}
	a := Account{
		Name: name, Weight: max(row.Weight, 1), RequestsPerSecond: row.RequestsPerSecond,
		Burst: row.Burst, Concurrency: row.Concurrency,
	}
	for _, text := range row.KeyHashes {
		hash, ok := parseKeyHash(text)
		if !ok {
			return b.doc.Errorf(pointer+"/key-hashes", "expected \"sha256:\" and 64 hexadecimal digits")
		}
		if owner, ok := b.tables.byKey[hash]; ok {
			return b.doc.Errorf(pointer+"/key-hashes", "the key already belongs to account %q", owner)
		}
		b.tables.byKey[hash] = name
		a.KeyHashes = append(a.KeyHashes, hash)
	}
	b.tables.Accounts[name] = a
	return nil
}

func parseKeyHash(text string) (KeyHash, bool) {
	var hash KeyHash
	digits, ok := strings.CutPrefix(text, "sha256:")
	if !ok || len(digits) != 2*len(hash) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

func (b builder) pool(name string, row poolRow) error {
	pointer := dhjson.Pointer("pools", "pools", name)
	kind, ok := parseKind(row.Kind)
	if !ok {
		return b.doc.Errorf(pointer+"/kind", "expected \"engine\" or \"service\", found %q", row.Kind)
	}
	if len(row.Models) == 0 {
		return b.doc.Errorf(pointer, "pool %q has no model", name)
	}
	p := Pool{Name: name, Kind: kind, Models: make(map[string]Model, len(row.Models))}
	for _, model := range slices.Sorted(maps.Keys(row.Models)) {
		m, err := b.model(pointer+dhjson.Pointer("models", model), model, row.Models[model])
		if err != nil {
			return err
		}
		p.Models[model] = m
	}
	b.tables.Pools[name] = p
	return nil
}

func (b builder) model(pointer, name string, row modelRow) (Model, error) {
	hold, ok := parseOnHold(row.OnHold)
	if !ok {
		return Model{}, b.doc.Errorf(pointer+"/on-hold", "expected \"new-sessions\", \"all\" or \"ignore\", found %q", row.OnHold)
	}
	if row.Cost < 0 {
		return Model{}, b.doc.Errorf(pointer+"/cost-per-1000-tokens", "cost must not be negative")
	}
	m := Model{Name: name, CostPer1000Tokens: row.Cost, OnHold: hold}
	sum, serving := 0.0, false
	for _, version := range slices.Sorted(maps.Keys(row.Versions)) {
		e, err := b.version(pointer+dhjson.Pointer("versions", version), Version{name, version}, row.Versions[version])
		if err != nil {
			return Model{}, err
		}
		sum += e.Share
		serving = serving || e.Stage == Stable || e.Stage == Rollout
		m.Versions = append(m.Versions, e)
	}
	if serving && (sum < 99.999 || sum > 100.001) {
		return Model{}, b.doc.Errorf(pointer+"/versions", "shares of model %q add up to %g; expected 100", name, sum)
	}
	return m, nil
}

func (b builder) version(pointer string, v Version, row versionRow) (VersionEntry, error) {
	stage, ok := parseStage(row.Stage)
	if !ok {
		return VersionEntry{}, b.doc.Errorf(pointer+"/stage", "expected \"stable\", \"rollout\", \"draining\" or \"withdrawn\", found %q", row.Stage)
	}
	if row.Share < 0 || row.Share > 100 {
		return VersionEntry{}, b.doc.Errorf(pointer+"/share", "share %g is not between 0 and 100", row.Share)
	}
	if row.Share > 0 && (stage == Draining || stage == Withdrawn) {
		return VersionEntry{}, b.doc.Errorf(pointer+"/share", "version %q is %s and cannot have a share", v, stage)
	}
	if row.Replicas < 0 {
		return VersionEntry{}, b.doc.Errorf(pointer+"/replicas", "replicas must not be negative")
	}
	return VersionEntry{Version: v, Stage: stage, Share: row.Share, Replicas: row.Replicas}, nil
}

func (b builder) route(name string, row routeRow) error {
	pointer := dhjson.Pointer("routes", "routes", name)
	pool, ok := b.tables.Pools[row.Pool]
	if !ok {
		return b.doc.Errorf(pointer+"/pool", "pool %q does not exist", row.Pool)
	}
	if len(row.Cascade) == 0 {
		return b.doc.Errorf(pointer, "route %q has no model in its cascade", name)
	}
	for _, model := range row.Cascade {
		if _, ok := pool.Models[model]; !ok {
			return b.doc.Errorf(pointer+"/cascade", "model %q does not exist in pool %q", model, row.Pool)
		}
	}
	if row.Deadline <= 0 || row.MaxTokens <= 0 {
		return b.doc.Errorf(pointer, "deadline and max-tokens must be positive")
	}
	if row.QualityTarget < 0 || row.QualityTarget > 1 {
		return b.doc.Errorf(pointer+"/quality-target", "quality target %g is not between 0 and 1", row.QualityTarget)
	}
	r := Route{
		Name: name, Pool: row.Pool, Repeatable: row.Repeatable, Class: row.Class, Priority: row.Priority,
		Deadline: time.Duration(row.Deadline), MaxTokens: row.MaxTokens, QualityTarget: row.QualityTarget,
		LatencySensitive: row.LatencySensitive, Cascade: row.Cascade, Allow: row.Allow,
	}
	b.tables.Routes[name] = r
	return b.allow(pointer+"/allow", r, pool)
}

// allow checks that each account in a route's allow list exists, that each of
// its patterns matches a version, and that at least one of these versions is
// not withdrawn.
func (b builder) allow(pointer string, r Route, pool Pool) error {
	for _, account := range slices.Sorted(maps.Keys(r.Allow)) {
		accountPointer := pointer + dhjson.Pointer(account)
		if _, ok := b.tables.Accounts[account]; !ok {
			return b.doc.Errorf(accountPointer, "account %q does not exist", account)
		}
		usable := false
		for _, pattern := range r.Allow[account] {
			found, available := matchPool(pattern, pool)
			if !found {
				return b.doc.Errorf(accountPointer, "%q names no version of pool %q", pattern, pool.Name)
			}
			usable = usable || available
		}
		if !usable {
			return b.doc.Errorf(accountPointer, "every version that account %q may use on route %q is withdrawn", account, r.Name)
		}
	}
	return nil
}

// matchPool reports whether a pattern matches any version of the pool, and
// whether it matches one that is not withdrawn.
func matchPool(pattern string, pool Pool) (found, available bool) {
	for _, m := range pool.Models {
		for _, e := range m.Versions {
			if matches([]string{pattern}, e.Version) {
				found = true
				available = available || e.Stage != Withdrawn
			}
		}
	}
	return found, available
}

func parseKind(s string) (PoolKind, bool) {
	for k := Engine; k <= Service; k++ {
		if k.String() == s {
			return k, true
		}
	}
	return 0, false
}

func parseStage(s string) (Stage, bool) {
	for g := Stable; g <= Withdrawn; g++ {
		if g.String() == s {
			return g, true
		}
	}
	return 0, false
}

func parseOnHold(s string) (OnHold, bool) {
	if s == "" {
		return HoldNewSessions, true
	}
	for h := HoldNewSessions; h <= HoldIgnore; h++ {
		if h.String() == s {
			return h, true
		}
	}
	return 0, false
}
