package dhquorum

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Member is one voter of a set.
type Member struct {
	// ID is the random identity on the voter's disk.
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// VoterSet contains the voters of one epoch. It is immutable. A joint set has
// Next, and a quorum of it is a majority of both lists.
type VoterSet struct {
	Epoch  uint64   `json:"epoch"`
	Voters []Member `json:"voters"`
	Next   []Member `json:"next,omitempty"`
}

// servingEpoch is the first epoch in which registers are used. In epoch 1 the
// identities of the first set are collected.
const servingEpoch = 2

// ParseVoterSet decodes the output of Encode.
func ParseVoterSet(data []byte) (VoterSet, error) {
	var s VoterSet
	if err := json.Unmarshal(data, &s); err != nil {
		return VoterSet{}, fmt.Errorf("voter set: %w", err)
	}
	if s.Epoch == 0 || len(s.Voters) == 0 {
		return VoterSet{}, fmt.Errorf("voter set of epoch %d has %d voters", s.Epoch, len(s.Voters))
	}
	return s, nil
}

// Encode returns the set as JSON, the format used in messages and on disk.
func (s VoterSet) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // only strings and integers
	}
	return data
}

// Joint reports whether a replacement or addition of a voter is in progress.
func (s VoterSet) Joint() bool { return len(s.Next) > 0 }

// Serving reports whether registers may be used in the set.
func (s VoterSet) Serving() bool { return s.Epoch >= servingEpoch }

// Contains reports whether id is a voter of the set.
func (s VoterSet) Contains(id string) bool {
	return indexOf(s.Voters, id) >= 0 || indexOf(s.Next, id) >= 0
}

// Joining returns the voter that a joint set adds.
func (s VoterSet) Joining() (Member, bool) {
	for _, m := range s.Next {
		if indexOf(s.Voters, m.ID) < 0 {
			return m, true
		}
	}
	return Member{}, false
}

// Members returns all voters, each once.
func (s VoterSet) Members() []Member {
	all := slices.Clone(s.Voters)
	if m, ok := s.Joining(); ok {
		all = append(all, m)
	}
	return all
}

// sharesAddress reports whether two members of the set have the address of m. This is so
// while a voter with a lost disk is replaced by the new voter of the same VM.
func (s VoterSet) sharesAddress(m Member) bool {
	return slices.ContainsFunc(s.Members(), func(o Member) bool { return o.Address == m.Address && o.ID != m.ID })
}

// Quorum reports whether the voters for which has returns true form a quorum.
func (s VoterSet) Quorum(has func(id string) bool) bool {
	return majority(s.Voters, has) && (!s.Joint() || majority(s.Next, has))
}

// WithReplacement returns the joint set in which member replaces the voter old.
func (s VoterSet) WithReplacement(old string, member Member) (VoterSet, error) {
	i := indexOf(s.Voters, old)
	if s.Joint() || i < 0 || s.Contains(member.ID) || member.ID == "" {
		return VoterSet{}, fmt.Errorf("voter %q cannot replace %q in epoch %d", member.ID, old, s.Epoch)
	}
	next := slices.Clone(s.Voters)
	next[i] = member
	return VoterSet{Epoch: s.Epoch + 1, Voters: s.Voters, Next: next}, nil
}

// WithAddition returns the joint set that adds a voter.
func (s VoterSet) WithAddition(member Member) (VoterSet, error) {
	if s.Joint() || s.Epoch < servingEpoch || s.Contains(member.ID) || member.ID == "" {
		return VoterSet{}, fmt.Errorf("voter %q cannot be added in epoch %d", member.ID, s.Epoch)
	}
	next := append(slices.Clone(s.Voters), member)
	return VoterSet{Epoch: s.Epoch + 1, Voters: s.Voters, Next: next}, nil
}

// AfterJoint returns the set that follows a joint one: the next voters if the
// new voter has joined, otherwise the old ones.
func (s VoterSet) AfterJoint(joined bool) VoterSet {
	if joined {
		return VoterSet{Epoch: s.Epoch + 1, Voters: s.Next}
	}
	return VoterSet{Epoch: s.Epoch + 1, Voters: s.Voters}
}

func indexOf(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func majority(members []Member, has func(id string) bool) bool {
	n := 0
	for _, m := range members {
		if has(m.ID) {
			n++
		}
	}
	return n > len(members)/2
}
