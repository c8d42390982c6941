package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of Observations, so that it fits into a datagram beside the load of a large
// deployment.
const (
	// maxStrikes is the number of strikes in the observations of several nodes.
	maxStrikes = 24
	// maxOwnStrikes is the number of strikes in the report of one node.
	maxOwnStrikes = maxStrikes
	// maxClearances is the number of clearances in a report.
	maxClearances = 16
	// maxNotices and maxRequestNotices are the numbers of quarantines of parts and of requests
	// in a report.
	maxNotices        = 8
	maxRequestNotices = 16
	// maxNoticeParts is the number of parts of one quarantine.
	maxNoticeParts = 3
)

// Part is the hash of the ID of a part of a prompt, or of a request. Its 64 bits make it
// improbable that a sound one has the hash of one in quarantine.
type Part uint64

// PartOf returns the hash of the ID of a part.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// errors returns the part by which server errors to a request are reported, and for that part
// the request. So clearances of both need no field to tell them apart, which nodes of earlier
// versions couldn't read.
func (p Part) errors() Part { return p ^ errorsMask }

// errorsMask is an arbitrary number.
const errorsMask = 0x9e3779b97f4a7c15

// partsOf returns the hashes of IDs.
func partsOf(ids []string) []Part {
	parts := make([]Part, len(ids))
	for i, id := range ids {
		parts[i] = PartOf(id)
	}
	return parts
}

// requestKey identifies a request among those at crashed engines.
func requestKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// engineKey identifies one start of an engine.
func engineKey(instance string, startedMs int64) uint32 {
	return uint32(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(instance), uint64(startedMs))))
}

// Strike means that an engine crashed while it ran a request with a part, or the request.
type Strike struct {
	Engine uint32 `msgpack:"e"`
	// Prompt identifies the request.
	Prompt uint32 `msgpack:"q"`
	Part   Part   `msgpack:"p"`
	// Depth is the position of the part in the prompt, or the EarlierAttempts of a request.
	Depth uint8 `msgpack:"d"`
	// AgeMs is the time since the crash, in milliseconds.
	AgeMs uint16 `msgpack:"a"`
}

// Clearance means that an engine was sound while it responded to a prompt that contains a
// part or, for Part.errors of a request, that engines answered it with server errors.
type Clearance struct {
	Part Part `msgpack:"p"`
	// AgeMs is the time since the response, in milliseconds.
	AgeMs uint32 `msgpack:"a"`
}

// Notice is a quarantine. Requests that contain all of its parts are refused.
type Notice struct {
	Parts []Part `msgpack:"p"`
	// Since is when the quarantine was decided, in Unix milliseconds of the node that
	// decided it. A later notice for the same parts replaces an earlier one.
	Since int64 `msgpack:"s"`
	// AgeMs is the time since the decision, in milliseconds.
	AgeMs uint32 `msgpack:"a"`
	// RemainingMs is the time until the quarantine expires, in milliseconds.
	RemainingMs uint32 `msgpack:"r"`
	// Crashes is the number of engines that crashed.
	Crashes uint16 `msgpack:"c"`
	// Prompts is the number of different prompts under which they crashed.
	Prompts uint16 `msgpack:"q"`
}

// key identifies the parts of a notice, which are sorted.
func (n *Notice) key() string { return fmt.Sprint(n.Parts) }

// Observations are what one or several nodes observed recently. Its zero value is empty.
type Observations struct {
	Strikes    []Strike    `msgpack:"s"`
	Clearances []Clearance `msgpack:"c"`
	Notices    []Notice    `msgpack:"n"`
}

// Empty reports whether nothing was observed. A nil report is empty.
func (r *Observations) Empty() bool {
	return r == nil || len(r.Strikes)+len(r.Clearances)+len(r.Notices) == 0
}

// Shorten returns the observations with the half of the strikes that are of the parts with
// the most of them, or nil if there are no strikes to drop.
func (r *Observations) Shorten() *Observations {
	if len(r.Strikes) == 0 {
		return nil
	}
	return &Observations{Strikes: mostStruck(r.Strikes, len(r.Strikes)/2), Clearances: r.Clearances, Notices: r.Notices}
}

// Validate checks the limits of a received report.
func (r *Observations) Validate() error {
	if r == nil {
		return nil
	}
	for _, list := range []struct {
		field      string
		n, maximum int
	}{
		{"strikes", len(r.Strikes), maxStrikes}, {"clearances", len(r.Clearances), maxClearances}, {"notices", len(r.Notices), maxRequestNotices},
	} {
		if list.n > list.maximum {
			return fmt.Errorf("%s of quarantine: %d entries, at most %d are allowed", list.field, list.n, list.maximum)
		}
	}
	for i := range r.Notices {
		if n := len(r.Notices[i].Parts); n == 0 || n > maxNoticeParts {
			return fmt.Errorf("notices[%d] of quarantine: %d parts, 1 to %d are allowed", i, n, maxNoticeParts)
		}
	}
	return nil
}

// Merge returns the union of two reports of one kind, of which other was received some time
// ago. Both stay unchanged. Beyond the limits it keeps the strikes of the parts that have
// the most of them, and the newest clearances and notices.
func Merge(kind Kind, r, other *Observations, ago time.Duration) *Observations {
	if other.Empty() {
		return r
	}
	union := &Observations{}
	if r != nil {
		*union = Observations{slices.Clone(r.Strikes), slices.Clone(r.Clearances), slices.Clone(r.Notices)}
	}
	ms := uint32(max(ago.Milliseconds(), 0))
	for _, s := range other.Strikes {
		s.AgeMs = uint16(min(uint32(s.AgeMs)+ms, math.MaxUint16))
		if !slices.ContainsFunc(union.Strikes, s.same) {
			union.Strikes = append(union.Strikes, s)
		}
	}
	for _, c := range other.Clearances {
		c.AgeMs = addAge(c.AgeMs, ms)
		if i := slices.IndexFunc(union.Clearances, func(o Clearance) bool { return o.Part == c.Part }); i < 0 {
			union.Clearances = append(union.Clearances, c)
		} else {
			union.Clearances[i].AgeMs = min(union.Clearances[i].AgeMs, c.AgeMs)
		}
	}
	for _, n := range other.Notices {
		n.AgeMs, n.RemainingMs = addAge(n.AgeMs, ms), n.RemainingMs-min(n.RemainingMs, ms)
		if i := slices.IndexFunc(union.Notices, func(o Notice) bool { return slices.Equal(o.Parts, n.Parts) }); i < 0 {
			union.Notices = append(union.Notices, n)
		} else if n.Since > union.Notices[i].Since {
			union.Notices[i] = n
		}
	}
	union.limit(kind.maxNotices())
	return union
}

// addAge returns the sum of two ages, or the largest age if that is exceeded.
func addAge(age, ms uint32) uint32 { return age + min(ms, math.MaxUint32-age) }

// same reports whether two strikes describe the same observation.
func (s Strike) same(other Strike) bool {
	return s.Engine == other.Engine && s.Prompt == other.Prompt && s.Part == other.Part
}

// limit truncates the lists to their limits.
func (r *Observations) limit(notices int) {
	if len(r.Strikes) > maxStrikes {
		r.Strikes = mostStruck(r.Strikes, maxStrikes)
	}
	slices.SortStableFunc(r.Clearances, func(a, b Clearance) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	r.Clearances = r.Clearances[:min(len(r.Clearances), maxClearances)]
	slices.SortStableFunc(r.Notices, func(a, b Notice) int { return cmp.Compare(b.Since, a.Since) })
	r.Notices = r.Notices[:min(len(r.Notices), notices)]
}

// mostStruck returns n of the strikes: those of the parts that have the most of them, and of
// these the newest.
func mostStruck(strikes []Strike, n int) []Strike {
	byPart := map[Part]int{}
	for _, s := range strikes {
		byPart[s.Part]++
	}
	sorted := slices.SortedStableFunc(slices.Values(strikes), func(a, b Strike) int {
		return cmp.Or(cmp.Compare(byPart[b.Part], byPart[a.Part]), cmp.Compare(a.AgeMs, b.AgeMs))
	})
	return sorted[:n]
}
