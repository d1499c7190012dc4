package mesh

import (
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/clementineweir/clementineweir/pkg/keyed"
)

// codes are the failures of a topic that keep their meaning between instances; every other one leaves open what was done.
var codes = []struct {
	err  error
	code twirp.ErrorCode
}{
	{keyed.ErrConflict, twirp.FailedPrecondition},
	{keyed.ErrTrimmed, twirp.OutOfRange},
	{keyed.ErrRefused, twirp.ResourceExhausted},
}

// encodeError returns the error for a caller.
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

// decodeError returns the error that the peer had.
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

// responded reports whether the peer itself responded a call.
func responded(err error) bool {
	var te twirp.Error
	if err == nil || errors.Is(err, errPartialLoan) {
		return true
	}
	return errors.As(err, &te) && te.Code() != twirp.Internal && te.Code() != twirp.Unavailable && te.Code() != twirp.DeadlineExceeded && te.Code() != twirp.Canceled
}

// conclusive reports whether an error says for sure that nothing was appended, or that the call must not be repeated elsewhere.
func conclusive(err error) bool {
	return errors.Is(err, keyed.ErrConflict) || errors.Is(err, keyed.ErrTrimmed)
}
