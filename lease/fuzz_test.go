package lease

import "testing"

// FuzzDecodeRecord guards against a stored record that ends the process, and against values
// from which the next record overflows.
func FuzzDecodeRecord(f *testing.F) {
	for _, value := range []string{``, `null`, `[[[`, `{"holder":"a","boot":"1","epoch":3,"renewal":2,"durationMs":2000,"era":1,"released":true}`, `{"epoch":18446744073709551615}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			if r != (Record{}) || len(err.Error()) > 400 {
				t.Errorf("record %+v beside error %v", r, err)
			}
			return
		}
		if next := nextEpoch(r.Epoch, r.Era, true); next <= r.Epoch || r.Holder == "" || r.DurationMs <= 0 || r.DurationMs > maxDuration.Milliseconds() {
			t.Errorf("record %+v, next epoch %d", r, next)
		}
	})
}
