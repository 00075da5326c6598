package dhwire

import (
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"dandelionhoist.example/dh/dhcode"
)

// ToTwirp returns err as a twirp error with the result code, the statement
// whether the request ran and the retry-after hint as metadata.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	code := dhcode.Of(err)
	wire := twirp.NewError(twirp.Internal, err.Error()).
		WithMeta(HeaderCode, code.String()).
		WithMeta(HeaderRan, dhcode.RanOf(err).String())
	if d := dhcode.RetryAfterOf(err); d > 0 {
		wire = wire.WithMeta(HeaderRetryAfter, d.String())
	}
	return wire
}

// FromTwirp returns err with what its metadata states. Errors that no handler
// of dandelionhoist made stay as they are.
func FromTwirp(err error) error {
	var wire twirp.Error
	if !errors.As(err, &wire) || wire.Meta(HeaderCode) == "" {
		return err
	}
	coded := dhcode.Errorf(dhcode.Parse(wire.Meta(HeaderCode)), "%s", wire.Msg())
	if ran, ok := parseRan(wire.Meta(HeaderRan)); ok {
		coded = dhcode.WithRan(coded, ran)
	}
	if d, err := time.ParseDuration(wire.Meta(HeaderRetryAfter)); err == nil && d > 0 {
		coded = dhcode.WithRetryAfter(coded, d)
	}
	return coded
}
