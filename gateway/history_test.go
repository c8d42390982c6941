package gateway

import "testing"

// Guards against a completion that progress makes endless although engines crash under it, and
// against one that broken connections end early.
func TestHistoryAllowsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		history history
		want    bool
	}{
		"first failure":           {history{failures: 1}, true},
		"no attempt left":         {history{failures: 3}, false},
		"streams broke":           {history{resumes: maxResumes}, true},
		"too many streams broke":  {history{resumes: maxResumes + 1}, false},
		"two crashes":             {history{resumes: 2, crashes: 2}, true},
		"three crashes, progress": {history{resumes: 3, crashes: 3}, false},
		"three crashes, in part":  {history{failures: 1, resumes: 2, crashes: 3}, false},
		"a crash, broken streams": {history{resumes: 9, crashes: 1}, true},
	} {
		if got := c.history.allowsAttempt(3); got != c.want {
			t.Errorf("%s: allowsAttempt() = %v, want %v", name, got, c.want)
		}
	}
}
