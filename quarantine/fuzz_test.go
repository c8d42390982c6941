package quarantine

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// FuzzDecode guards against stored quarantines that end the process, when they are decoded
// or when they are adopted.
func FuzzDecode(f *testing.F) {
	now := time.UnixMilli(1_790_000_000_000)
	for _, value := range []string{``, `null`, `{"quarantines":[[[`, `{"quarantines":[{"parts":["7f"],"since":1789999990000,"until":1790000060000,"crashes":6,"prompts":3},7]}`,
		`{"quarantines":[{"parts":["x"],"since":-9223372036854775808,"until":9223372036854775807}]}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		o, _ := Decode(data, now)
		if o == nil {
			return
		}
		if err := o.Validate(); err != nil {
			t.Error(err)
		}
		l := NewLedger(Config{}, log.NewNopLogger(), metrics.NewRegistry())
		l.now = func() time.Time { return now }
		l.Absorb(o)
		_ = l.Report()
	})
}
