package logsink

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// maxLinesPerSecond is the number of lines with the same message that are written in
	// a second.
	maxLinesPerSecond = 250
	// urgentFactor multiplies this limit for messages at warn or error level.
	urgentFactor = 4
)

// Limit returns a logger that writes a limited number of lines per second for each
// message, and logs how many it left out.
func Limit(next log.Logger) log.Logger { return LimitAt(next, time.Now) }

// LimitAt is like Limit but reads the time from now.
func LimitAt(next log.Logger, now func() time.Time) log.Logger {
	return &limiter{next: next, now: now, counts: map[string]*messageCount{}}
}

// limiter is a logger that limits the rate of lines by message.
type limiter struct {
	next log.Logger
	now  func() time.Time

	mu     sync.Mutex
	counts map[string]*messageCount
}

// messageCount counts the lines of one message in the latest second in which it was
// logged.
type messageCount struct {
	// second is that second as a Unix time.
	second  int64
	lines   int
	dropped int
}

// Log implements log.Logger.
func (l *limiter) Log(fields ...any) error {
	message, urgent := messageAndSeverity(fields)
	second := l.now().Unix()
	l.mu.Lock()
	c := l.counts[message]
	if c == nil {
		c = &messageCount{}
		l.counts[message] = c
	}
	dropped := 0
	if c.second != second {
		dropped = c.dropped
		*c = messageCount{second: second}
	}
	limit := maxLinesPerSecond
	if urgent {
		limit *= urgentFactor
	}
	c.lines++
	if c.lines > limit {
		c.dropped++
		l.mu.Unlock()
		return nil
	}
	l.mu.Unlock()
	if dropped > 0 {
		if err := l.next.Log("level", level.WarnValue(), "msg", "log lines left out", "of", message, "lines", dropped); err != nil {
			return err
		}
	}
	return l.next.Log(fields...)
}

// messageAndSeverity returns the message of a line and whether its level is warn or
// error.
func messageAndSeverity(fields []any) (message string, urgent bool) {
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "msg":
			message, _ = fields[i+1].(string)
		case level.Key():
			if v, ok := fields[i+1].(interface{ String() string }); ok {
				urgent = v.String() == "warn" || v.String() == "error"
			}
		}
	}
	return message, urgent
}
