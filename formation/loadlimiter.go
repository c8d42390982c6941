package formation

import (
	"strconv"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

const (
	// loadRateFraction is the fraction of the allowed loads per second that is used.
	// The platform counts loads over windows that aren't aligned with this limiter's.
	loadRateFraction = 0.8
	// loadBurst is the capacity of the token bucket: the number of loads that may start
	// at once.
	loadBurst = 6
)

// loadLimiter is a token bucket that limits the loads from the weight store.
type loadLimiter struct {
	tokens     float64
	lastRefill time.Time
}

// available returns the number of loads that may start now. Before the first traffic
// only the number of concurrent loads is limited, not their rate.
func (l *loadLimiter) available(p *catalog.EngineProfile, inProgress int, hasTraffic bool, now time.Time) int {
	concurrent := p.MaxConcurrentLoads
	if concurrent <= 0 {
		concurrent = loadBurst
	}
	if !hasTraffic {
		return max(maxLoadsBeforeTraffic, concurrent) - inProgress
	}
	l.tokens = min(l.tokens+now.Sub(l.lastRefill).Seconds()*p.LoadsPerSecond*loadRateFraction, loadBurst)
	l.lastRefill = now
	return min(int(l.tokens), concurrent-inProgress)
}

// maxLoadsBeforeTraffic is the number of concurrent loads before the first traffic,
// while loads are short; it is in effect unlimited.
const maxLoadsBeforeTraffic = 1 << 10

// take consumes the tokens of n loads.
func (l *loadLimiter) take(n int) { l.tokens -= float64(n) }

// groupName returns the name of the group with the given epoch. Names are never
// reused, so a delayed command for an old group matches no group.
func groupName(epoch uint64) string { return "g" + strconv.FormatUint(epoch, 36) }
