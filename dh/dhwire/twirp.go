package dhwire

import (
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"dandelionhoist.example/dh/dhcode"
)

// ToTwirp returns err as a twirp error that carries as metadata the result code,
// whether the request ran and the retry-after hint. It returns nil for nil.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	code := dhcode.Of(err)
	twirpErr := twirp.NewError(twirp.Internal, err.Error()).
		WithMeta(HeaderCode, code.String()).
		WithMeta(HeaderRan, dhcode.RanOf(err).String())
	if d := dhcode.RetryAfterOf(err); d > 0 {
		twirpErr = twirpErr.WithMeta(HeaderRetryAfter, d.String())
	}
	return twirpErr
}

// FromTwirp returns an error with the values decoded from the metadata of err.
// It returns errors that no handler of dandelionhoist created unchanged.
func FromTwirp(err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Meta(HeaderCode) == "" {
		return err
	}
	coded := dhcode.Errorf(dhcode.Parse(twirpErr.Meta(HeaderCode)), "%s", twirpErr.Msg())
	if ran, ok := parseRan(twirpErr.Meta(HeaderRan)); ok {
		coded = dhcode.WithRan(coded, ran)
	}
	if d, err := time.ParseDuration(twirpErr.Meta(HeaderRetryAfter)); err == nil && d > 0 {
		coded = dhcode.WithRetryAfter(coded, d)
	}
	return coded
}
