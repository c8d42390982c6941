package quarantine

import (
	"slices"
	"time"
)

// Kind is what a Ledger blames for crashes.
type Kind uint8

// Kinds of ledgers.
const (
	// Parts are the parts that prompts share. Each request with such a part crashes engines.
	Parts Kind = iota
	// Requests are whole requests, which callers send again. Requests with the same parts
	// are sound.
	Requests
	// KindCount is the number of kinds.
	KindCount
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	if k == Requests {
		return "request"
	}
	return "part"
}

// subjects returns those of the IDs that may be put in quarantine. The last part of a prompt
// belongs to the request or its session alone.
func (k Kind) subjects(ids []string) []string {
	if k == Requests || len(ids) == 0 {
		return ids
	}
	last := ids[len(ids)-1]
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == last })
}

// depth returns the Depth of a strike for the subject at a position.
func (k Kind) depth(position int, r Request) int {
	if k == Requests {
		return r.EarlierAttempts
	}
	return position
}

func (k Kind) metricPrefix() string {
	if k == Requests {
		return "quarantine.requests."
	}
	return "quarantine."
}

// evidenceTime returns how long a strike counts.
func (k Kind) evidenceTime() time.Duration {
	if k == Requests {
		return requestEvidenceTime
	}
	return evidenceTime
}

// maxNotices returns the number of quarantines in a report.
func (k Kind) maxNotices() int {
	if k == Requests {
		return maxRequestNotices
	}
	return maxNotices
}

// maxInEffect returns the number of quarantines in effect at a time.
func (k Kind) maxInEffect() int {
	if k == Requests {
		return maxRequestsInEffect
	}
	return maxNotices
}

// maxRecords returns the number of subjects with evidence.
func (k Kind) maxRecords() int {
	if k == Requests {
		return maxRequestRecords
	}
	return maxRecords
}
