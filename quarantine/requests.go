package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// minRequestEngines is the number of engines that must have crashed under a request.
	minRequestEngines = 3
	// minRequestEnginesOnceSound replaces minRequestEngines for a request that was sound
	// before: more likely, the engines crashed for another reason.
	minRequestEnginesOnceSound = 5
	// errorsPerCrash is the number of server errors that outweigh one crash: an engine that
	// fails most requests before it runs them may receive one that crashes the others.
	errorsPerCrash = 4
)

// decide returns the quarantine to begin next, or none.
func (k Kind) decide(records map[Part]*record, active [][]Part, expired func(Part) bool, now time.Time) (decision, bool) {
	if k == Requests {
		return decideRequests(records, active, expired)
	}
	return decideParts(records, active, expired, now)
}

// decideRequests returns the request to put in quarantine next, or none. active are the
// requests in quarantine; expired reports whether a request was in quarantine until recently.
//
// It answers load in which a request crashes each engine that runs it and is sent again by
// its caller, beside sound requests at the same engines. A response that was sound has
// removed the earlier strikes of its request. One that is asked for often is at each engine
// that crashes; if servers answer it with errors, these are weighed against the crashes. Crashes of engines under a request in
// quarantine count only against requests with as many crashes. Engines that fail
// together count as one incident, as requests may be repeated by nature.
func decideRequests(records map[Part]*record, active [][]Part, expired func(Part) bool) (decision, bool) {
	blamed := make(map[Part][]uint32, len(active))
	for _, parts := range active {
		blamed[parts[0]] = records[parts[0]].engines(nil)
	}
	var suspects []*record
	for part, r := range records {
		if _, found := blamed[part]; !found && (len(r.strikes) >= minRequestEngines || (len(r.strikes) > 0 && expired(part))) {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.strikes), len(a.strikes)), cmp.Compare(a.part, b.part))
	})
	for _, r := range suspects {
		all := r.engines(nil)
		engines := r.engines(func(engine uint32) bool {
			for _, others := range blamed {
				if len(others) > len(all) && slices.Contains(others, engine) {
					return true
				}
			}
			return false
		})
		renewal := expired(r.part)
		if r.errors >= errorsPerCrash*len(engines) {
			continue
		}
		required := minRequestEngines
		if !r.soundAt.IsZero() {
			required = minRequestEnginesOnceSound
		}
		if (renewal && len(engines) > 0) || (len(engines) >= required && r.incidents() >= minIncidents) {
			return decision{parts: []Part{r.part}, crashes: len(engines), prompts: 1, engines: engines, renewal: renewal}, true
		}
	}
	return decision{}, false
}

// Conditions of trials.
const (
	// trialDelay is the time from the last crash to the first trial. All nodes know the
	// quarantine by then. It doubles for the next one.
	trialDelay = time.Second
	// maxTrials is the number of trials in a quarantine.
	maxTrials = 2
)

// takeTrial reports whether a request in quarantine is to be sent as a trial.
func (l *Ledger) takeTrial(q *Quarantine) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	n, r := l.notices[q.key()], l.records[q.Parts[0]]
	if n == nil || r == nil || !n.inEffect(now) || !n.allowsTrial(r, now) {
		return false
	}
	n.trials, n.triedAt = n.trials+1, now
	l.trials.Inc(1)
	_ = level.Info(l.logger).Log("msg", "request in quarantine is tried", "part", r.part, "trial", n.trials, "crashes", n.Crashes)
	return true
}

// allowsTrial reports whether this node may send a request in quarantine once.
//
// It answers load in which a sound request was at each engine that crashed: while all nodes
// refuse it, no response can show that it is sound. The node that has seen the last crash
// tries it, so that a request that crashes engines crashes one more. A request that servers
// never answered is not tried, as that would cost the other requests at an engine. After a crash
// under a trial there is no other one, nor in a quarantine that was renewed by a crash.
func (n *notice) allowsTrial(r *record, now time.Time) bool {
	if n.Crashes < minRequestEngines || n.trials >= maxTrials || len(r.strikes) == 0 || (r.soundAt.IsZero() && r.errors == 0) {
		return false
	}
	last := slices.MaxFunc(r.strikes, func(a, b strike) int { return a.at.Compare(b.at) })
	if !last.own || (n.trials > 0 && !last.at.Before(n.triedAt)) {
		return false
	}
	return now.Sub(latest(last.at, n.triedAt)) >= trialDelay<<n.trials
}

// engines returns the engines that crashed, in ascending order, except those that explained
// reports; nil reports none.
func (r *record) engines(explained func(engine uint32) bool) (list []uint32) {
	if r == nil {
		return nil
	}
	for _, s := range r.strikes {
		if explained == nil || !explained(s.engine) {
			list = insert(list, s.engine)
		}
	}
	return list
}

// incidents returns the number of times at which the strikes happened. An engine that was
// sent the request after an earlier attempt had failed didn't crash together with that.
func (r *record) incidents() int {
	n := incidents(slices.SortedFunc(slices.Values(r.strikes), func(a, b strike) int { return a.at.Compare(b.at) }))
	for _, s := range r.strikes {
		n = max(n, int(s.depth)+1)
	}
	return n
}
