package dhmember

import (
	"sort"

	"dandelionhoist.example/dh/dhpb"
)

// State is the state of a member. At equal incarnations the higher state takes precedence.
type State int

// States of a member, in order of precedence.
const (
	Alive   State = iota // alive
	Suspect              // suspect
	Dead                 // dead
	Left                 // left
)

func parseState(s string) (State, bool) {
	for state := Alive; state <= Left; state++ {
		if state.String() == s {
			return state, true
		}
	}
	return 0, false
}

// Member is the record of an entry VM. It is immutable.
type Member struct {
	Name, Address, Zone, Region string
	State                       State
	Incarnation                 uint64
	// Revision, VoterSequence and InFlight are the last known values. InFlight is
	// taken only from messages that the member itself sent.
	Revision      uint64
	VoterID       string
	VoterSequence uint64
	HasDisk       bool
	InFlight      int
}

func memberOf(r *dhpb.MemberRecord, state State) Member {
	return Member{
		Name: r.GetName(), Address: r.GetAddress(), Zone: r.GetZone(), Region: r.GetRegion(), State: state,
		Incarnation: r.GetIncarnation(), Revision: r.GetRevision(), VoterID: r.GetVoterId(),
		VoterSequence: r.GetVoterSequence(), HasDisk: r.GetHasDisk(), InFlight: int(r.GetInFlight()),
	}
}

func (m Member) record() *dhpb.MemberRecord {
	return &dhpb.MemberRecord{
		Name: m.Name, Address: m.Address, Zone: m.Zone, Region: m.Region, State: m.State.String(),
		Incarnation: m.Incarnation, Revision: m.Revision, VoterId: m.VoterID,
		VoterSequence: m.VoterSequence, HasDisk: m.HasDisk, InFlight: int32(m.InFlight),
	}
}

// View is an immutable list of members, including this VM.
type View struct {
	// Self is the record of this VM.
	Self    Member
	members []Member
}

// All returns all known members sorted by name. The slice must not be changed.
func (v *View) All() []Member { return v.members }

// Alive returns the members that are neither dead nor left, including this VM,
// sorted by name.
func (v *View) Alive() []Member {
	return v.filter(func(*Member) bool { return true })
}

// InZone returns the members of a zone that are neither dead nor left, sorted by name.
func (v *View) InZone(zone string) []Member {
	return v.filter(func(m *Member) bool { return m.Zone == zone })
}

func (v *View) filter(keep func(*Member) bool) []Member {
	list := make([]Member, 0, len(v.members))
	for i := range v.members {
		if m := &v.members[i]; m.State <= Suspect && keep(m) {
			list = append(list, *m)
		}
	}
	return list
}

// Get returns a member by name.
func (v *View) Get(name string) (Member, bool) {
	i := sort.Search(len(v.members), func(i int) bool { return v.members[i].Name >= name })
	if i == len(v.members) || v.members[i].Name != name {
		return Member{}, false
	}
	return v.members[i], true
}

// publish builds and stores a new view. The caller holds the lock.
func (m *Members) publish() {
	v := &View{Self: m.self, members: make([]Member, 0, len(m.names)+1)}
	own := false
	for _, name := range m.names {
		if !own && name > m.self.Name {
			v.members, own = append(v.members, m.self), true
		}
		v.members = append(v.members, m.rows[name].Member)
	}
	if !own {
		v.members = append(v.members, m.self)
	}
	m.publishPending, m.publishAtTick = false, false
	m.view.Store(v)
}
