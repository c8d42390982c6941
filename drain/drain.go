package drain

import "time"

// Kind is a kind of request, by what its caller loses if it isn't answered in time.
type Kind int

const (
	// Repeatable requests may be sent again after an error.
	Repeatable Kind = iota
	// Once are requests that may run only once: without a response, their callers can't
	// know whether they ran.
	Once
	// Stream are requests with streamed responses. Once a response has begun, it can't be
	// replaced by an error.
	Stream
)

const (
	// earlyFraction is the fraction of the total time of a stop in which requests are taken
	// although it isn't known that they end in time. Two thirds are left for them, and
	// callers have learnt the addresses of other nodes by then.
	earlyFraction = 3
	// repeatableFactor and onceFactor multiply the usual duration of a request. The result
	// is the time that must be left for it.
	repeatableFactor = 4
	onceFactor       = 8
)

// Grace is the time that a node has to stop, from the request to stop.
type Grace struct {
	// Total is the time until the process is ended by force.
	Total time.Duration
	// Answers is the time until each request must have been answered; below Total.
	Answers time.Duration
}

// Request is a request that arrives, or waits to be sent, during the stop.
type Request struct {
	Kind Kind
	// Deadline is the time until the caller gives up.
	Deadline time.Duration
	// Expected is the usual duration of such requests, 0 if unknown.
	Expected time.Duration
}

// Decision says what becomes of a request.
type Decision struct {
	// Take is false if the request is to be refused as not run.
	Take bool
	// Within is the time within which the request must be answered: its deadline, or the
	// shorter time that is left.
	Within time.Duration
	// StartWithin is the time within which the request must be sent to a backend server.
	StartWithin time.Duration
}

// Decide decides on a request at a time since the stop began. A request is taken if its
// deadline ends before the node does, early in the stop, or if it is far more likely than
// not to end in time.
func (g Grace) Decide(since time.Duration, r Request) Decision {
	left := g.Answers - since
	if r.Deadline <= left {
		return Decision{Take: true, Within: r.Deadline, StartWithin: r.Deadline}
	}
	start := g.latestStart(r) - since
	if start < 0 || left <= 0 {
		return Decision{}
	}
	return Decision{Take: true, Within: left, StartWithin: start}
}

// latestStart returns the time since the stop began until which a request may be sent whose
// deadline is after the end.
func (g Grace) latestStart(r Request) time.Duration {
	latest := g.Total / earlyFraction
	if r.Kind != Stream && r.Expected > 0 {
		factor := time.Duration(repeatableFactor)
		if r.Kind == Once {
			factor = onceFactor
		}
		latest = max(latest, g.Answers-factor*r.Expected)
	}
	return min(latest, g.Answers-r.Expected)
}
