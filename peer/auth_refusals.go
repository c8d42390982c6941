package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// refusalInterval is the minimum time between two log lines about refused keys. A
// node with a different peer key retries in every exchange round.
const refusalInterval = 10 * time.Second

// refusalLog logs requests that were refused because of their key, at most once per
// refusalInterval. Without these lines, a node with a different peer key cannot be
// distinguished from an unreachable one.
type refusalLog struct {
	logger log.Logger

	mu sync.Mutex
	// count is the number of refused requests since the last log line.
	count    int
	loggedAt time.Time
}

// add counts a refused request and logs the count unless the last log line is younger
// than refusalInterval.
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
