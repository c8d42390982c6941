package formation

import (
	"strconv"
	"time"

	"github.com/rattanlanding/rattanlanding/catalog"
)

const (
	// loadRateShare is the part of the allowed loads per second that is used. The
	// platform counts over windows that don't start with ours.
	loadRateShare = 0.8
	// loadBurst is the number of loads that may start at once.
	loadBurst = 6
)

// loadLimit bounds the loads from the weight store.
type loadLimit struct {
	tokens float64
	at     time.Time
}

// available returns the number of loads that may start now. Before the first
// traffic only the loads that run at once count.
func (l *loadLimit) available(p *catalog.EngineProfile, loading int, traffic bool, now time.Time) int {
	atOnce := p.LoadsAtOnce
	if atOnce <= 0 {
		atOnce = loadBurst
	}
	if !traffic {
		return max(unlimitedStart, atOnce) - loading
	}
	l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*p.LoadsPerSecond*loadRateShare, loadBurst)
	l.at = now
	return min(int(l.tokens), atOnce-loading)
}

// unlimitedStart is the number of loads under way before the first traffic, when
// loads are short.
const unlimitedStart = 1 << 10

func (l *loadLimit) take(n int) { l.tokens -= float64(n) }

// groupName returns the name of the group with an epoch. Names are never used
// again, so a late order to an old group finds none.
func groupName(epoch uint64) string { return "g" + strconv.FormatUint(epoch, 36) }
