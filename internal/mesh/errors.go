package mesh

import (
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// codes maps the errors of a topic to the codes that relay them to a peer. After any other error it is unknown whether the call
// had an effect.
var codes = []struct {
	err  error
	code twirp.ErrorCode
}{
	{keyed.ErrConflict, twirp.FailedPrecondition},
	{keyed.ErrTrimmed, twirp.OutOfRange},
	{keyed.ErrRefused, twirp.ResourceExhausted},
}

// encodeError returns the error to send to the calling peer.
func encodeError(err error) error {
	if err == nil {
		return nil
	}
	for _, co := range codes {
		if errors.Is(err, co.err) {
			return twirp.NewError(co.code, err.Error())
		}
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// decodeError returns the topic's error if err has the code of one, and otherwise err itself.
func decodeError(err error) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		return err
	}
	for _, co := range codes {
		if te.Code() == co.code {
			return co.err
		}
	}
	return err
}

// responded reports whether a call got a response from the peer itself. Such a peer needs no backoff.
func responded(err error) bool {
	var te twirp.Error
	if err == nil || errors.Is(err, errPartialLoan) {
		return true
	}
	return errors.As(err, &te) && te.Code() != twirp.Internal && te.Code() != twirp.Unavailable &&
		te.Code() != twirp.DeadlineExceeded && te.Code() != twirp.Canceled
}

// conclusive reports whether an error is a definite response of the store. Such a call must not be retried through another peer.
func conclusive(err error) bool {
	return errors.Is(err, keyed.ErrConflict) || errors.Is(err, keyed.ErrTrimmed)
}
