package retry

import "github.com/rattanlanding/rattanlanding/verdict"

// DefaultAttempts is the highest number of attempts of one request, including the
// first.
const DefaultAttempts = 3

// Allowed reports whether a request may be retried after err. A request that is
// not repeatable is retried only if err states that it was not run. Requests that
// every backend server would refuse, and those that certainly ran, are never
// retried.
func Allowed(err *verdict.Error, repeatable bool) bool {
	switch err.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonForbidden, verdict.ReasonUnauthenticated,
		verdict.ReasonTooLarge, verdict.ReasonDeadline, verdict.ReasonLimitExceeded,
		verdict.ReasonUnconfirmed, verdict.ReasonKeyReused, verdict.ReasonRequestQuarantined:
		return false
	}
	return err.Verdict == verdict.NotRun || (repeatable && err.Verdict == verdict.MayHaveRun)
}
