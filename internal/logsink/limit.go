package logsink

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// linesPerSecond is the number of lines of one message that are written in a
	// second; a message at warn or error level may take four times as many.
	linesPerSecond = 250
	urgentFactor   = 4
)

// Limit returns a logger that writes a bounded number of lines a second for each
// message, and tells how many it left out.
func Limit(next log.Logger) log.Logger { return LimitAt(next, time.Now) }

// LimitAt is Limit with a clock.
func LimitAt(next log.Logger, now func() time.Time) log.Logger {
	return &limiter{next: next, now: now, counts: map[string]*count{}}
}

// limiter counts lines by message.
type limiter struct {
	next log.Logger
	now  func() time.Time

	mu     sync.Mutex
	counts map[string]*count
}

// count is the lines of one message in the present second.
type count struct {
	second  int64
	lines   int
	dropped int
}

// Log implements log.Logger.
func (l *limiter) Log(fields ...any) error {
	message, urgent := describe(fields)
	second := l.now().Unix()
	l.mu.Lock()
	c := l.counts[message]
	if c == nil {
		c = &count{}
		l.counts[message] = c
	}
	dropped := 0
	if c.second != second {
		dropped = c.dropped
		*c = count{second: second}
	}
	limit := linesPerSecond
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

// describe returns the message of a line and whether it is a warning or an error.
func describe(fields []any) (message string, urgent bool) {
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
