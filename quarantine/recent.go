package quarantine

import "time"

// Limits of recentParts.
const (
	// recentTime is how long at least a part is remembered, if there are few of them.
	recentTime = 30 * time.Second
	// maxRecent is the number of parts in each generation.
	maxRecent = 4096
)

// recentParts remembers when parts last appeared in a sound response, in two generations:
// the older one is forgotten when the newer one is full or old.
type recentParts struct {
	newer, older map[Part]time.Time
	since        time.Time
}

func (r *recentParts) add(p Part, now time.Time) {
	if r.newer == nil || len(r.newer) >= maxRecent || now.Sub(r.since) > recentTime {
		r.newer, r.older, r.since = map[Part]time.Time{}, r.newer, now
	}
	r.newer[p] = now
}

// at returns when a part last appeared, or the zero time.
func (r *recentParts) at(p Part) time.Time {
	if at, found := r.newer[p]; found {
		return at
	}
	return r.older[p]
}
