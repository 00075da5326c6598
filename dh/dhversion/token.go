package dhversion

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
)

const (
	// tokenFormat is the first byte of a token.
	tokenFormat = 1
	// maxTokenChars limits the length of a token that is decoded. A token with
	// maxPins pins, the longest names and the longest session id has 2,400 characters.
	maxTokenChars = 4096
	maxPins       = 8
	maxNameBytes  = 100
)

// session is the decoded content of a token. A token consists of the format, the
// session id, the pins and an HMAC-SHA256 over these, the account and the route.
type session struct {
	id   string
	pins []dhtable.Version
}

func (s session) pin(model string) (dhtable.Version, bool) {
	for _, v := range s.pins {
		if v.Model == model {
			return v, true
		}
	}
	return dhtable.Version{}, false
}

// withPin returns s with v as the pin of its model. It drops pins of models that
// the route's cascade no longer contains, and the oldest pin if there are more
// than maxPins.
func (s session) withPin(in Input, v dhtable.Version) session {
	pins := make([]dhtable.Version, 0, len(s.pins)+1)
	for _, p := range s.pins {
		if p.Model != v.Model && inCascade(in, p.Model) {
			pins = append(pins, p)
		}
	}
	if len(pins) >= maxPins {
		pins = pins[1:]
	}
	return session{id: s.id, pins: append(pins, v)}
}

func (c *Chooser) sign(in Input, s session) string {
	body := []byte{tokenFormat}
	body = appendName(body, s.id)
	body = binary.AppendUvarint(body, uint64(len(s.pins)))
	for _, p := range s.pins {
		body = appendName(body, p.Model)
		body = appendName(body, p.Name)
	}
	var key []byte
	if len(c.Keys) > 0 {
		key = c.Keys[0]
	}
	return base64.RawURLEncoding.EncodeToString(append(body, mac(key, in, body)...))
}

func (c *Chooser) verify(in Input) (s session, current bool, err error) {
	invalid := func(reason string) (session, bool, error) {
		return session{}, false, dhcode.Errorf(dhcode.SessionTokenInvalid, "session token: %s", reason)
	}
	if len(in.Token) > maxTokenChars {
		return invalid("too long")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(in.Token)
	if err != nil || len(data) < 1+sha256.Size {
		return invalid("malformed")
	}
	body, sum := data[:len(data)-sha256.Size], data[len(data)-sha256.Size:]
	if body[0] != tokenFormat {
		return invalid("unknown format")
	}
	i := slices.IndexFunc(c.Keys, func(key []byte) bool { return hmac.Equal(sum, mac(key, in, body)) })
	if i < 0 {
		return invalid("not signed for this account and route with a known key")
	}
	s, ok := parseSession(body[1:])
	if !ok {
		return invalid("malformed")
	}
	if in.SessionID != "" && in.SessionID != s.id {
		return invalid("belongs to another session")
	}
	return s, i == 0, nil
}

// mac authenticates a token's body together with the account and the route, which
// the body does not contain.
func mac(key []byte, in Input, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	var buf []byte
	buf = appendName(buf, in.Account)
	buf = appendName(buf, in.Route)
	h.Write(buf)
	h.Write(body)
	return h.Sum(nil)
}

func parseSession(body []byte) (s session, ok bool) {
	if s.id, body, ok = cutName(body); !ok {
		return s, false
	}
	n, used := binary.Uvarint(body)
	if used <= 0 || n > maxPins {
		return s, false
	}
	body = body[used:]
	for range n {
		var v dhtable.Version
		if v.Model, body, ok = cutName(body); !ok {
			return s, false
		}
		if v.Name, body, ok = cutName(body); !ok {
			return s, false
		}
		s.pins = append(s.pins, v)
	}
	return s, len(body) == 0
}

func appendName(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func cutName(b []byte) (name string, rest []byte, ok bool) {
	n, used := binary.Uvarint(b)
	if used <= 0 || n > uint64(len(b)-used) {
		return "", nil, false
	}
	b = b[used:]
	return string(b[:n]), b[n:], true
}
