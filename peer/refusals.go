package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// refusalInterval is the least time between two log lines about refused keys.
// A node with another key tries in every exchange round.
const refusalInterval = 10 * time.Second

// refusalLog logs requests that were refused for their key. Without it, a node
// with another peer key looks the same as one that can't be reached.
type refusalLog struct {
	logger log.Logger

	mu sync.Mutex
	// count is the number of refusals since the newest line.
	count    int
	loggedAt time.Time
}

// add counts a refused request and logs it unless a line is younger than
// refusalInterval.
func (l *refusalLog) add(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	now := time.Now()
	if now.Sub(l.loggedAt) < refusalInterval {
		return
	}
	_ = level.Warn(l.logger).Log("msg", "peer key refused", "from", r.RemoteAddr, "count", l.count)
	l.count, l.loggedAt = 0, now
}
