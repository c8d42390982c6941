package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// storedList is the value of the object in the platform's store.
type storedList struct {
	Quarantines []storedNotice `json:"quarantines"`
}

// storedNotice is a quarantine as stored. Times are Unix milliseconds.
type storedNotice struct {
	// Parts are the hashes of the parts in hexadecimal.
	Parts   []string `json:"parts"`
	Since   int64    `json:"since"`
	Until   int64    `json:"until"`
	Crashes uint16   `json:"crashes"`
	Prompts uint16   `json:"prompts"`
}

// Encode encodes quarantines for the platform's store.
func Encode(list []*Quarantine) ([]byte, error) {
	stored := storedList{Quarantines: []storedNotice{}}
	for _, q := range list {
		n := storedNotice{Since: q.Since, Until: q.Until.UnixMilli(), Crashes: q.Crashes, Prompts: q.Prompts}
		for _, p := range q.Parts {
			n.Parts = append(n.Parts, strconv.FormatUint(uint64(p), 16))
		}
		stored.Quarantines = append(stored.Quarantines, n)
	}
	return json.Marshal(stored)
}

// Decode decodes the quarantines in the platform's store that haven't expired. Its errors
// name the invalid field.
func Decode(data []byte, now time.Time) (*Observations, error) {
	var stored storedList
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("quarantines: %w", err)
	}
	r := &Observations{}
	for i, s := range stored.Quarantines {
		remaining := time.UnixMilli(s.Until).Sub(now)
		if remaining <= 0 {
			continue
		}
		n := Notice{Since: s.Since, AgeMs: uint32(max(now.Sub(time.UnixMilli(s.Since)), 0).Milliseconds()), RemainingMs: uint32(min(remaining, maxRemaining).Milliseconds()), Crashes: s.Crashes, Prompts: s.Prompts}
		for j, text := range s.Parts {
			p, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("quarantines[%d].parts[%d]: %q is no hexadecimal number of 64 bits", i, j, text)
			}
			n.Parts = append(n.Parts, Part(p))
		}
		r.Notices = append(r.Notices, n)
	}
	return r, r.Validate()
}

// maxRemaining bounds the remaining time of a quarantine, which the clock of the node that
// stored it may have made too long.
const maxRemaining = 24 * time.Hour

// SameParts reports whether two lists of quarantines concern the same parts.
func SameParts(a []*Quarantine, b *Observations) bool {
	if b == nil {
		return len(a) == 0
	}
	return len(a) == len(b.Notices) && !slices.ContainsFunc(a, func(q *Quarantine) bool {
		return !slices.ContainsFunc(b.Notices, func(n Notice) bool { return slices.Equal(n.Parts, q.Parts) })
	})
}
