package verdict

import "fmt"

// Verdict says whether a request may have been executed by a backend server.
type Verdict uint8

const (
	// NotRun means that no backend server has executed or will execute the request. It is
	// used only if that is certain.
	NotRun Verdict = iota + 1
	// MayHaveRun means that at least one byte of the request may have reached a backend
	// server and no response proves what happened.
	MayHaveRun
	// Ran means that a backend server executed the request.
	Ran
)

// String returns the wire form: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Parse parses the wire form of a verdict. The second result is false if text is not one of
// the three known forms.
func Parse(text string) (Verdict, bool) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if v.String() == text {
			return v, true
		}
	}
	return 0, false
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Unknown text is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, ok := Parse(string(text))
	if !ok {
		return fmt.Errorf("unknown verdict %q", text)
	}
	*v = parsed
	return nil
}
