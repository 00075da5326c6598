package dhquorum

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// maxOps is how many update IDs a stored value keeps. A proposer whose accept
// got no quorum uses them to find out whether its update became part of the
// value. More than 16 updates by others between two tries of one proposer are
// not expected.
const maxOps = 16

// storedValue is a register's value as voters hold it: the IDs of the updates
// that led to it, newest last, and the caller's bytes.
//
//	count uint8, ops [count]uint64, value
type storedValue struct {
	ops   []uint64
	value []byte
}

func parseStored(data []byte) (storedValue, error) {
	if len(data) == 0 {
		return storedValue{}, nil
	}
	n := int(data[0])
	if n > maxOps || len(data) < 1+8*n {
		return storedValue{}, fmt.Errorf("stored value of %d bytes claims %d updates", len(data), n)
	}
	s := storedValue{value: data[1+8*n:]}
	for i := range n {
		s.ops = append(s.ops, binary.LittleEndian.Uint64(data[1+8*i:]))
	}
	return s, nil
}

func (s storedValue) encode() []byte {
	data := make([]byte, 0, 1+8*len(s.ops)+len(s.value))
	data = append(data, byte(len(s.ops)))
	for _, op := range s.ops {
		data = binary.LittleEndian.AppendUint64(data, op)
	}
	return append(data, s.value...)
}

func (s storedValue) withUpdate(op uint64, value []byte) storedValue {
	ops := append(slices.Clone(s.ops), op)
	return storedValue{ops: ops[max(len(ops)-maxOps, 0):], value: value}
}

// operation is one call of Update, including all its tries.
type operation struct {
	key string
	f   func(old []byte) ([]byte, error)
	id  uint64
	// sent is set once an accept with the operation's result was sent.
	sent bool
	// base is the update that preceded the operation's result when that was first sent.
	base    uint64
	hasBase bool
}

// applied reports whether the operation is part of s. known is false when s no
// longer holds update IDs that old.
func (o *operation) applied(s storedValue) (applied, known bool) {
	switch {
	case !o.sent:
		return false, true
	case slices.Contains(s.ops, o.id):
		return true, true
	case len(s.ops) < maxOps || o.hasBase && slices.Contains(s.ops, o.base):
		return false, true
	}
	return false, false
}

func (o *operation) markSent(s storedValue) {
	if !o.sent && len(s.ops) > 0 {
		o.base, o.hasBase = s.ops[len(s.ops)-1], true
	}
	o.sent = true
}
