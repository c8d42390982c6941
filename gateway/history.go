package gateway

const (
	// maxResumes is the largest number of times that one completion resumes on another
	// group.
	maxResumes = 16
	// maxCrashes is the number of attempts under which engines crashed from which a
	// completion is not continued: more likely, it is the completion that crashes them. It
	// equals the number of crashes from which a request is put in quarantine.
	maxCrashes = 3
)

// history counts the failed attempts of a completion.
type history struct {
	// failures is the number of attempts since the last new token.
	failures int
	// resumes is the number of attempts that failed after new tokens.
	resumes int
	// crashes is the number of attempts under which engines crashed, with or without new
	// tokens.
	crashes int
}

// add counts a failed attempt. Resuming a stream that made progress does not multiply the load
// as a retry does, so the count of failures starts again.
func (h *history) add(progress bool) {
	if progress {
		h.failures = 0
		h.resumes++
		return
	}
	h.failures++
}

// allowsAttempt reports whether another attempt may be made.
func (h *history) allowsAttempt(maxAttempts int) bool {
	return h.failures < maxAttempts && h.resumes <= maxResumes && h.crashes < maxCrashes
}
