// Package dhversion chooses the version of a model that answers a request. It
// also puts a rollout on hold when its answers are worse than those of the
// stable version.
//
// Goroutines that serve requests use a Chooser. The versions of a session are
// pinned in a token that the caller keeps, so the router stores no state per
// session. Evidence is used by the control goroutine only, which publishes
// immutable Holds to the goroutines that serve requests.
//
// # Usage
//
//	chooser := dhversion.Chooser{Keys: keys} // the first key signs tokens, every key verifies them
//	in := dhversion.Input{Tables: tables, Account: "crew-east", Route: "cut-lists",
//		SessionID: id, Token: token, Model: "oak", Holds: snapshot.Holds}
//	choice, err := chooser.Choose(in)
//	...
//	err = dhversion.Usable(in, choice) // with the newest tables, before each dispatch
package dhversion

import (
	"crypto/rand"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
)

// Input holds the parameters of a version choice.
type Input struct {
	Tables         *dhtable.Tables
	Account, Route string
	// SessionID is the session id that the caller chose. When it is empty, the
	// session of Token continues; without a token, a session with a random id starts.
	SessionID string
	// Token is the token of the session's previous answer, or empty.
	Token string
	// Model is the model that the cascade chose.
	Model string
	// Holds is the set of rollouts on hold; nil means none.
	Holds *Holds
	// LeaseExpired is true while the tables lease has expired.
	LeaseExpired bool
	// Loaded reports whether any backend server has loaded a version. A new
	// session gets a version that is not loaded only when no version of the model
	// is loaded, as after the interrupted start of a rollout. If Loaded is nil,
	// all versions count as loaded.
	Loaded func(v dhtable.Version) bool
}

// Choice is the version chosen for a request.
type Choice struct {
	Version dhtable.Version
	// Token is the new session token, which replaces the caller's previous one.
	Token string
	// Pinned is true when the session was already pinned to this version.
	Pinned bool
	// Moved is true when the session was pinned to another version of the model.
	Moved bool
}

// Chooser chooses versions and signs session tokens. Its fields must be set
// before first use.
type Chooser struct {
	// Keys sign and verify session tokens. The first key signs. To rotate keys,
	// append the new key on every VM before moving it to the front on any.
	Keys [][]byte
	// NewSessionID generates the id of a session that has none. If it is nil,
	// ids are random.
	NewSessionID func() string
}

// Choose returns the version of in.Model for a request. A session keeps its
// version as long as Usable permits it. The error code is version-not-allowed,
// tables-lease-lapsed, session-token-invalid, route-not-allowed or no-tables.
func (c *Chooser) Choose(in Input) (Choice, error) {
	if in.Tables == nil {
		return Choice{}, dhcode.Errorf(dhcode.NoTables, "no tables are known")
	}
	if !in.Tables.RouteAllowed(in.Account, in.Route) {
		return Choice{}, dhcode.Errorf(dhcode.RouteNotAllowed, "account %q may not use route %q", in.Account, in.Route)
	}
	s, current, err := c.session(in)
	if err != nil {
		return Choice{}, err
	}
	pinned, hasPin := s.pin(in.Model)
	if hasPin {
		err := usable(in, pinned, true)
		if err == nil {
			token := in.Token
			if !current {
				token = c.sign(in, s)
			}
			return Choice{Version: pinned, Token: token, Pinned: true}, nil
		}
		// Other VMs may still use the version, so the session must not move.
		if dhcode.Of(err) == dhcode.TablesLeaseLapsed {
			return Choice{}, err
		}
	}
	v, err := selectVersion(in, s.id)
	if err != nil {
		return Choice{}, err
	}
	s = s.withPin(in, v)
	return Choice{Version: v, Token: c.sign(in, s), Moved: hasPin}, nil
}

// session returns the session of a request and whether its token was signed
// with the current key.
func (c *Chooser) session(in Input) (s session, current bool, err error) {
	if in.Token != "" {
		return c.verify(in)
	}
	s.id = in.SessionID
	if s.id == "" {
		s.id = c.newID()
	}
	if len(s.id) > maxNameBytes {
		return s, false, dhcode.Errorf(dhcode.RequestMalformed, "session id has %d bytes, at most %d are accepted", len(s.id), maxNameBytes)
	}
	return s, false, nil
}

func (c *Chooser) newID() string {
	if c.NewSessionID != nil {
		return c.NewSessionID()
	}
	return rand.Text()
}

// Usable returns an error if a choice must not be dispatched under in, which
// holds the newest tables, holds and lease state. It must be called right
// before each dispatch, including retries, hedges and escalations. To resume a
// broken stream, set Pinned, because its session has already started. The error
// code is version-not-allowed, tables-lease-lapsed or no-tables.
func Usable(in Input, c Choice) error {
	if in.Tables == nil {
		return dhcode.Errorf(dhcode.NoTables, "no tables are known")
	}
	return usable(in, c.Version, c.Pinned)
}

// Models returns the models of the route's cascade on which the account can
// currently start a session, in cascade order.
func Models(in Input) []string {
	if in.Tables == nil {
		return nil
	}
	var models []string
	for _, m := range in.Tables.Routes[in.Route].Cascade {
		in.Model = m
		if _, err := selectVersion(in, ""); err == nil {
			models = append(models, m)
		}
	}
	return models
}

func usable(in Input, v dhtable.Version, pinned bool) error {
	pool := in.Tables.Routes[in.Route].Pool
	if !in.Tables.Allowed(in.Account, in.Route, v) {
		return dhcode.Errorf(dhcode.VersionNotAllowed, "account %q may not use version %q on route %q", in.Account, v, in.Route)
	}
	e, _ := in.Tables.Entry(pool, v)
	if in.LeaseExpired && e.Stage != dhtable.Stable {
		return dhcode.Errorf(dhcode.TablesLeaseLapsed, "version %q is in stage %q and the tables may be out of date", v, e.Stage)
	}
	if e.Stage == dhtable.Draining && !pinned {
		return dhcode.Errorf(dhcode.VersionNotAllowed, "version %q is draining and takes no new session", v)
	}
	onHold := in.Tables.Pools[pool].Models[v.Model].OnHold
	if onHold == dhtable.HoldIgnore || (pinned && onHold == dhtable.HoldNewSessions) {
		return nil
	}
	if in.Holds.Held(pool, v) {
		return dhcode.Errorf(dhcode.VersionNotAllowed, "the rollout of version %q is on hold", v)
	}
	return nil
}

// selectVersion returns the version for a new session, preferably a loaded one.
func selectVersion(in Input, id string) (dhtable.Version, error) {
	if in.Loaded != nil {
		if v, err := selectByShare(in, id, in.Loaded); err == nil {
			return v, nil
		}
	}
	return selectByShare(in, id, func(dhtable.Version) bool { return true })
}

// selectByShare chooses among the versions that permit accepts, in proportion to
// their shares. Rollout versions occupy the low end of the hash range, so raising
// the share of one does not move a session that was on it and lost its token.
func selectByShare(in Input, id string, permit func(dhtable.Version) bool) (dhtable.Version, error) {
	pool := in.Tables.Routes[in.Route].Pool
	var (
		candidates []dhtable.VersionEntry
		fallback   *dhtable.VersionEntry
		sum        float64
		leaseErr   error
	)
	versions := in.Tables.Pools[pool].Models[in.Model].Versions
	for _, stage := range []dhtable.Stage{dhtable.Rollout, dhtable.Stable} {
		for _, e := range versions {
			if e.Stage != stage || !permit(e.Version) {
				continue
			}
			err := usable(in, e.Version, false)
			if dhcode.Of(err) == dhcode.TablesLeaseLapsed {
				leaseErr = err
			}
			if err != nil {
				continue
			}
			if e.Share > 0 {
				candidates = append(candidates, e)
				sum += e.Share
			} else if stage == dhtable.Stable && fallback == nil {
				fallback = &e
			}
		}
	}
	if len(candidates) == 0 {
		if fallback != nil {
			return fallback.Version, nil
		}
		if leaseErr != nil {
			return dhtable.Version{}, leaseErr
		}
		return dhtable.Version{}, dhcode.Errorf(dhcode.VersionNotAllowed, "account %q may use no version of model %q on route %q now", in.Account, in.Model, in.Route)
	}
	position := hashPosition(pool, in.Model, id) * sum
	for _, e := range candidates {
		if position < e.Share {
			return e.Version, nil
		}
		position -= e.Share
	}
	return candidates[len(candidates)-1].Version, nil
}

// hashPosition maps a session id to a position in [0, 1). The hash includes the
// model, so that different sessions are the first to move in each rollout.
func hashPosition(pool, model, id string) float64 { return Position(sessionHash(pool, model, id)) }

func sessionHash(pool, model, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{pool, "\x00", model, "\x00", id} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// inCascade reports whether the route's cascade contains the model. Tokens keep
// only pins of such models.
func inCascade(in Input, model string) bool {
	return slices.Contains(in.Tables.Routes[in.Route].Cascade, model)
}
