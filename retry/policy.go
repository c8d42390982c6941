package retry

import "github.com/rattanlanding/rattanlanding/verdict"

// DefaultAttempts is the number of attempts of one request, the first included.
const DefaultAttempts = 3

// Allowed reports whether a request may be sent again after err. A call that
// may not be repeated is sent again only when err proves that it was not run.
// Refusals that every backend server would give, and calls that certainly ran,
// are never repeated.
func Allowed(err *verdict.Error, repeatable bool) bool {
	switch err.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonForbidden, verdict.ReasonUnauthenticated,
		verdict.ReasonTooLarge, verdict.ReasonDeadline, verdict.ReasonLimitExceeded,
		verdict.ReasonUnconfirmed, verdict.ReasonKeyReused:
		return false
	}
	return err.Verdict == verdict.NotRun || (repeatable && err.Verdict == verdict.MayHaveRun)
}
