package suspicion

import "math"

const (
	// priorAnswers is the number of answers that a server without history is assumed to have
	// given.
	priorAnswers = 4
	// maxOthers limits the requests at other nodes that count beside those of this node: the
	// network between them and the server may differ.
	maxOthers = 24
	// changeProbability is the probability that a server begins to fail every request at any
	// of them.
	changeProbability = 0.002
	// outageFailures is the fraction of requests that such a server fails.
	outageFailures = 0.95
	// minFailures is the smallest fraction of requests that a server is assumed to fail by
	// chance.
	minFailures = 0.02
	// minUnresponsive is the number of other nodes to which a server must be silent or gone
	// before it gets no requests from this node: a single one may itself be cut off.
	minUnresponsive = 2
	// outageReports is the number of failures at other nodes from which they count as
	// successive if no node receives events from the server.
	outageReports = 3
)

// Assessment is what to expect of a server.
type Assessment struct {
	// Trust is the probability that the server answers the next request.
	Trust float64
	// Held is true if the server gets no requests.
	Held bool
	// Untested is true if the server was silent or gone and has shown no sign of life since. It
	// gets one request at a time.
	Untested bool
}

// sound is the assessment of a server without failures.
var sound = Assessment{Trust: 1}

// Assess weighs what this node and the others have seen of a server. progress is true if
// events of the server arrive at any node now, and ownProgress if they do at this one. A server
// that is silent to this node, but not to others, isn't held.
func Assess(own Evidence, others Report, ownProgress, progress bool) Assessment {
	held := own.Hold == Gone || (own.Hold == Silent && !progress)
	if held || (others.Unresponsive() >= minUnresponsive && !ownProgress) {
		return Assessment{Held: true}
	}
	rate := failureRate(own, others)
	streak := own.Streak
	if !progress && others.Failed() >= outageReports {
		streak += others.Failed()
	}
	return Assessment{Trust: (1 - rate) * (1 - outage(streak, rate)), Untested: own.Cause != None}
}

// failureRate returns the expected fraction of requests that a server fails: the mean of the
// posterior, which is small while there are few observations.
func failureRate(own Evidence, others Report) float64 {
	failed, answered := others.Failed(), others.Answered()
	if total := failed + answered; total > maxOthers {
		failed, answered = failed*maxOthers/total, answered*maxOthers/total
	}
	failed, answered = failed+own.Failed, answered+own.Answered
	return failed / (priorAnswers + failed + answered)
}

// outage returns the probability that a server has begun to fail every request, after
// successive failures with the given weight, if it failed requests at the given rate before.
func outage(streak, rate float64) float64 {
	if streak <= 0 {
		return 0
	}
	ratio := outageFailures / max(rate, minFailures)
	odds := changeProbability * math.Pow(max(ratio, 1), streak)
	return odds / (1 + odds)
}

const (
	// soundTrust is the trust, relative to the best server, from which a server counts as
	// sound.
	soundTrust = 0.9
	// fullTrust is the trust from which a server may get all of its slots.
	fullTrust = 0.5
	// idleExponent is the power to which trust is raised while the sound servers are idle.
	idleExponent = 6
)

// Share returns the part of its slots that a server gets, by its trust relative to the best
// server of the pool and the utilisation of the sound servers. While these have free slots, a
// server in doubt gets far less than its trust, since each failure costs its caller time. The
// fewer are left, the more it gets: a doubtful answer is better than a refusal, unless there is
// hardly a chance of one.
func Share(trust, utilisation float64) float64 {
	trust = min(max(trust, 0), 1)
	idle := 1 - min(max(utilisation, 0), 1)
	return min(math.Pow(trust, idle*idleExponent), trust/fullTrust)
}

// IsSound reports whether a server with the given trust, relative to the best one, counts as
// sound: requests that must not be sent twice go to sound servers first.
func IsSound(trust float64) bool { return trust >= soundTrust }
