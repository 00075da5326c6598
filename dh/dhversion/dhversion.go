// Package dhversion chooses the version of a model that answers a request,
// and puts rollouts on hold whose answers are worse than the stable version's.
//
// A Chooser is used by traffic goroutines. A session's versions are pinned in
// a token that the caller keeps, so that the system holds no state per
// session. Evidence belongs to the control goroutine, which publishes its
// immutable Holds for traffic.
//
// # Usage
//
//	chooser := dhversion.Chooser{Keys: keys} // the first key signs, all of them verify
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

// Input is what a choice depends on.
type Input struct {
	Tables         *dhtable.Tables
	Account, Route string
	// SessionID is the caller's name of the session. When it is empty, the
	// token's session continues or a session with a random id starts.
	SessionID string
	// Token is the token of the session's previous answer, or empty.
	Token string
	// Model is the model that the cascade chose.
	Model string
	// Holds may be nil.
	Holds *Holds
	// LeaseExpired is set while the tables lease has expired.
	LeaseExpired bool
	// Loaded reports whether a backend server has a version. A new session gets
	// a version that is not loaded only when none of the model is, as after the
	// interrupted start of a rollout. Nil means that all are.
	Loaded func(v dhtable.Version) bool
}

// Choice is the version of a request.
type Choice struct {
	Version dhtable.Version
	// Token replaces the session's token.
	Token string
	// Pinned is set when the version is the one the session already had.
	Pinned bool
	// Moved is set when the session had another version of the model before.
	Moved bool
}

// Chooser chooses versions. Its fields are set before use.
type Chooser struct {
	// Keys sign and verify session tokens. The first one signs; a new key is
	// appended on every VM before it is moved to the front.
	Keys [][]byte
	// NewSessionID returns an id for a session that has none; nil means random.
	NewSessionID func() string
}

// Choose returns the version of in.Model for a request. A session keeps its
// version while Usable permits it. Errors carry version-not-allowed,
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
	pinned, had := s.pin(in.Model)
	if had {
		err := usable(in, pinned, true)
		if err == nil {
			token := in.Token
			if !current {
				token = c.sign(in, s)
			}
			return Choice{Version: pinned, Token: token, Pinned: true}, nil
		}
		// The version may still be in force elsewhere, so the session must not move.
		if dhcode.Of(err) == dhcode.TablesLeaseLapsed {
			return Choice{}, err
		}
	}
	v, err := share(in, s.id)
	if err != nil {
		return Choice{}, err
	}
	s = s.withPin(in, v)
	return Choice{Version: v, Token: c.sign(in, s), Moved: had}, nil
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

// Usable reports whether a choice may be dispatched under in, which holds the
// newest tables, holds and lease state. It is called right before each
// dispatch, also of retries, hedges and escalations. A broken stream that is
// resumed sets Pinned, since its session has started. Errors carry
// version-not-allowed or tables-lease-lapsed.
func Usable(in Input, c Choice) error {
	if in.Tables == nil {
		return dhcode.Errorf(dhcode.NoTables, "no tables are known")
	}
	return usable(in, c.Version, c.Pinned)
}

// Models returns the models of the route's cascade that can start a session
// for the account now, in cascade order.
func Models(in Input) []string {
	if in.Tables == nil {
		return nil
	}
	var models []string
	for _, m := range in.Tables.Routes[in.Route].Cascade {
		in.Model = m
		if _, err := share(in, ""); err == nil {
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

// share returns the version of a new session, preferably a loaded one.
func share(in Input, id string) (dhtable.Version, error) {
	if in.Loaded != nil {
		if v, err := shareOf(in, id, in.Loaded); err == nil {
			return v, nil
		}
	}
	return shareOf(in, id, func(dhtable.Version) bool { return true })
}

// shareOf chooses among the versions that permit says. The rollout versions take the
// low end of the range, so that raising the share of one does not change the
// version of a session that lost its token while being on it.
func shareOf(in Input, id string, permit func(dhtable.Version) bool) (dhtable.Version, error) {
	pool := in.Tables.Routes[in.Route].Pool
	var (
		candidates []dhtable.VersionEntry
		spare      *dhtable.VersionEntry
		sum        float64
		lapsed     error
	)
	versions := in.Tables.Pools[pool].Models[in.Model].Versions
	for _, stage := range []dhtable.Stage{dhtable.Rollout, dhtable.Stable} {
		for _, e := range versions {
			if e.Stage != stage || !permit(e.Version) {
				continue
			}
			err := usable(in, e.Version, false)
			if dhcode.Of(err) == dhcode.TablesLeaseLapsed {
				lapsed = err
			}
			if err != nil {
				continue
			}
			if e.Share > 0 {
				candidates = append(candidates, e)
				sum += e.Share
			} else if stage == dhtable.Stable && spare == nil {
				spare = &e
			}
		}
	}
	if len(candidates) == 0 {
		if spare != nil {
			return spare.Version, nil
		}
		if lapsed != nil {
			return dhtable.Version{}, lapsed
		}
		return dhtable.Version{}, dhcode.Errorf(dhcode.VersionNotAllowed, "account %q may use no version of model %q on route %q now", in.Account, in.Model, in.Route)
	}
	at := point(pool, in.Model, id) * sum
	for _, e := range candidates {
		if at < e.Share {
			return e.Version, nil
		}
		at -= e.Share
	}
	return candidates[len(candidates)-1].Version, nil
}

// point returns a session's place in [0, 1). It depends on the model, so that
// the same sessions are not the first in every rollout.
func point(pool, model, id string) float64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{pool, "\x00", model, "\x00", id} {
		_, _ = d.WriteString(s)
	}
	return float64(d.Sum64()>>11) / (1 << 53)
}

// inCascade reports whether a token may keep a pin of a model.
func inCascade(in Input, model string) bool {
	return slices.Contains(in.Tables.Routes[in.Route].Cascade, model)
}
