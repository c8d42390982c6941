package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/logsink"
	"github.com/rattanlanding/rattanlanding/internal/rawjson"
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

// Decode decodes the quarantines in the platform's store that haven't expired. An invalid
// one, which another writer may have stored, is left out; the error, returned beside the
// others, names the first few of them with the invalid field.
func Decode(data []byte, now time.Time) (*Observations, error) {
	var items [][]byte
	err := rawjson.Fields(data, func(field string, value []byte) error {
		if field != "quarantines" {
			return nil
		}
		return rawjson.Elements(value, func(item []byte) error {
			items = append(items, item)
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("quarantines: %w", err)
	}
	r := &Observations{}
	var invalid []error
	for i, item := range items {
		n, err := decodeNotice(item, now)
		if err != nil && len(invalid) < maxInvalid {
			invalid = append(invalid, fmt.Errorf("quarantines[%d].%s", i, logsink.Shorten(err.Error())))
		}
		if err == nil && n.RemainingMs > 0 {
			r.Notices = append(r.Notices, n)
		}
	}
	r.limit(maxRequestsInEffect)
	return r, errors.Join(invalid...)
}

// maxInvalid is the number of invalid quarantines that an error names.
const maxInvalid = 3

// decodeNotice decodes one stored quarantine. Its error begins with the invalid field.
func decodeNotice(item []byte, now time.Time) (Notice, error) {
	var s storedNotice
	if err := json.Unmarshal(item, &s); err != nil {
		return Notice{}, fmt.Errorf("value: %w", err)
	}
	if latest := min(s.Until, now.Add(maxRemaining).UnixMilli()); s.Since < 0 || s.Since > latest {
		return Notice{}, fmt.Errorf("since: %d is not between 0 and %d", s.Since, latest)
	}
	if len(s.Parts) == 0 || len(s.Parts) > maxNoticeParts {
		return Notice{}, fmt.Errorf("parts: %d, 1 to %d are allowed", len(s.Parts), maxNoticeParts)
	}
	remaining := max(time.UnixMilli(s.Until).Sub(now), 0)
	n := Notice{Since: s.Since, AgeMs: uint32(min(max(now.Sub(time.UnixMilli(s.Since)).Milliseconds(), 0), math.MaxUint32)),
		RemainingMs: uint32(min(remaining, maxRemaining).Milliseconds()), Crashes: s.Crashes, Prompts: s.Prompts}
	for j, text := range s.Parts {
		p, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Notice{}, fmt.Errorf("parts[%d]: %q is no hexadecimal number of 64 bits", j, logsink.Shorten(text))
		}
		n.Parts = append(n.Parts, Part(p))
	}
	return n, nil
}

// maxRemaining bounds the remaining time of a quarantine, which the clock of the node that
// stored it may have made too long.
const maxRemaining = 24 * time.Hour

// SameParts reports whether two lists of quarantines concern the same parts, and were decided
// at the same times.
func SameParts(a []*Quarantine, b *Observations) bool {
	if b == nil {
		return len(a) == 0
	}
	return len(a) == len(b.Notices) && !slices.ContainsFunc(a, func(q *Quarantine) bool {
		return !slices.ContainsFunc(b.Notices, func(n Notice) bool { return slices.Equal(n.Parts, q.Parts) && n.Since == q.Since })
	})
}
