package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// ownRetention is how long an instance stays in the responses of an observer
// whose evidence is not the newest.
const ownRetention = 5 * time.Second

// placeholderAge is the age of evidence that only keeps its place in responses.
// It is beyond any time-to-live, so that receivers ignore the evidence.
const placeholderAge = time.Hour

// ownLog remembers which instances this node observes.
type ownLog struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// choose keeps the evidence of node, sorted by instance. In a full mesh every
// observer reaches everyone in one hop, so passing on the evidence of others only
// adds traffic. The observers of an instance take turns in having the newest
// evidence; a placeholder takes the place of that of another, so that the stable
// part of responses does not change with every turn.
func (l *ownLog) choose(node string, evidence []blackboard.Observation, now time.Time) []blackboard.Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]time.Time{}
	}
	var own []blackboard.Observation
	for i := range evidence {
		o := evidence[i]
		switch {
		case o.Observer == node:
			l.seen[o.Report.Instance] = now
		case now.Sub(l.seen[o.Report.Instance]) < ownRetention:
			o.Observer, o.ObservedAt = node, now.Add(-placeholderAge)
			o.Report.Running, o.Report.QueuedPromptTokens, o.Report.FreeKVTokens = 0, 0, 0
		default:
			continue
		}
		own = append(own, o)
	}
	for instance, at := range l.seen {
		if now.Sub(at) >= ownRetention {
			delete(l.seen, instance)
		}
	}
	slices.SortFunc(own, func(a, b blackboard.Observation) int {
		return cmp.Compare(a.Report.Instance, b.Report.Instance)
	})
	return own
}
