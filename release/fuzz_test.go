package release_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// FuzzParse guards against notes that make the parser panic, that are refused without a
// verdict, or whose content changes when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Fuzz(func(t *testing.T, data []byte) {
		note, err := release.Parse(data)
		if err != nil {
			var e *verdict.Error
			if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
				t.Fatalf("refused without the verdict not-run: %v", err)
			}
			return
		}
		text, err := json.Marshal(&note)
		if err != nil {
			t.Fatal(err)
		}
		again, err := release.Parse(text)
		if err != nil || again.ContentHash() != note.ContentHash() {
			t.Fatalf("content changed when the note was encoded and parsed again: %s: %v", text, err)
		}
		if next, err := release.Apply(fleet.Configuration{}, note, release.Meta{}); err == nil && next.Revision != 1 {
			t.Fatalf("note accepted as revision %d, want 1", next.Revision)
		}
	})
}
