// Package evacuation decides which failure domains are evacuated at a node.
//
// An operator requests in the platform's store that the servers of a failure domain get no
// more requests. The request is in force some time after the node has learnt it, until the
// operator takes it back.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/object"
)

const (
	// pendingFraction is the fraction of the time until an evacuation must be in force in
	// which its servers still take requests that no other server can run. The rest is left
	// for the change to reach the node over several failures.
	pendingFraction = 0.2
	// watchFraction is the fraction of that time for which a watch may wait. Two connections
	// that fall silent one after the other cost it twice.
	watchFraction = 0.3
	// restoredTime is how long what was in force stays so after the store was restored from
	// an older copy. Operators have that time to request again what they want.
	restoredTime = 2 * time.Minute
	// keepReturned is how long it is remembered that a domain was taken back. It exceeds the
	// age of the copies from which the platform's store is restored.
	keepReturned = 2 * time.Minute
)

// WatchWait returns how long a watch of the evacuations may wait if they must be in force
// within the given time.
func WatchWait(inForceWithin time.Duration) time.Duration {
	return time.Duration(float64(inForceWithin) * watchFraction)
}

// Request is the request of an operator to evacuate a failure domain.
type Request struct {
	Domain  string
	Version object.Version
}

// Ledger holds the evacuations that a node knows. It isn't safe for concurrent use.
type Ledger struct {
	pendingTime time.Duration
	logger      log.Logger
	evacuated   metrics.Gauge

	// domains are the evacuated domains.
	domains map[string]domain
	// returned are the domains that were taken back.
	returned map[string]returned
	// started is true after the first update.
	started bool
	era     uint64
	// restored describes the state before the store was restored from an older copy.
	restored restored
}

// domain is the state of an evacuated domain.
type domain struct {
	version object.Version
	// since is when the evacuation was learnt; zero if that was at the start.
	since time.Time
	// inForce is true once the log has a line on it.
	inForce bool
}

// returned is an evacuation that was taken back.
type returned struct {
	version object.Version
	at      time.Time
}

// restored compares the state before the store was restored with that after it.
type restored struct {
	until time.Time
	// domains are the evacuations before.
	domains map[string]domain
	// first are the versions of those that the restored store showed first.
	first map[string]object.Version
	// settled are the domains that the operator has changed since.
	settled map[string]bool
}

// NewLedger returns an empty ledger of evacuations that must be in force within the given
// time after the platform has accepted them.
func NewLedger(inForceWithin time.Duration, logger log.Logger, registry metrics.Registry) *Ledger {
	return &Ledger{pendingTime: time.Duration(float64(inForceWithin) * pendingFraction), logger: log.With(logger, "component", "evacuation"),
		evacuated: metrics.GetOrRegisterGauge("evacuation.domains", registry),
		domains:   map[string]domain{}, returned: map[string]returned{}}
}

// Update replaces the requests of the operators by those that the store shows in an era,
// and returns what they have in effect now. It must be called again at the returned time,
// unless that is zero.
func (l *Ledger) Update(era uint64, requests []Request, now time.Time) (engine.Evacuations, time.Time) {
	wanted := make(map[string]object.Version, len(requests))
	for _, r := range requests {
		wanted[r.Domain] = r.Version
	}
	if l.started && era != l.era {
		l.restored = restored{until: now.Add(restoredTime), domains: maps.Clone(l.domains), first: maps.Clone(wanted), settled: map[string]bool{}}
		_ = level.Warn(l.logger).Log("msg", "store restored from an older copy; keeping the evacuations that are in force", "for", restoredTime,
			"domains", len(l.domains))
	}
	since := now
	if !l.started {
		since = time.Time{}
	}
	l.started, l.era = true, era
	l.keepRestored(wanted, now)
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if d, known := l.domains[name]; known {
			d.version = wanted[name]
			l.domains[name] = d
			continue
		}
		l.domains[name] = domain{version: wanted[name], since: since}
		_ = level.Info(l.logger).Log("msg", "evacuation requested", "domain", name, "revision", wanted[name].Revision(), "pending_ms", l.pendingTime.Milliseconds())
	}
	for name, d := range l.domains {
		if _, found := wanted[name]; !found {
			delete(l.domains, name)
			l.returned[name] = returned{d.version, now}
			_ = level.Info(l.logger).Log("msg", "evacuation taken back", "domain", name)
		}
	}
	maps.DeleteFunc(l.returned, func(_ string, r returned) bool { return now.Sub(r.at) > keepReturned })
	l.evacuated.Update(int64(len(l.domains)))
	return l.inEffect(now)
}

// keepRestored changes what a restored store shows to what was in force before, as long as
// the operators haven't changed it since. A store that lost its latest changes shows neither
// the evacuations among them nor that others were taken back.
func (l *Ledger) keepRestored(wanted map[string]object.Version, now time.Time) {
	if !now.Before(l.restored.until) {
		l.restored = restored{}
		return
	}
	for name := range union(l.restored.first, wanted) {
		if wanted[name] != l.restored.first[name] {
			l.restored.settled[name] = true
		}
	}
	for name := range union(l.restored.first, l.restored.domains) {
		d, before := l.restored.domains[name]
		back, wasReturned := l.returned[name]
		switch {
		case l.restored.settled[name]:
		case before:
			wanted[name] = d.version
		case wasReturned && back.version.Revision() == wanted[name].Revision():
			delete(wanted, name)
		}
	}
}

// union returns the keys of two maps.
func union[A, B any](a map[string]A, b map[string]B) map[string]bool {
	keys := make(map[string]bool, len(a)+len(b))
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	return keys
}

// inEffect returns the state of each evacuated domain, and when it changes next.
func (l *Ledger) inEffect(now time.Time) (result engine.Evacuations, again time.Time) {
	result = engine.Evacuations{}
	next := func(at time.Time) {
		if again.IsZero() || at.Before(again) {
			again = at
		}
	}
	for name, d := range l.domains {
		if at := d.since.Add(l.pendingTime); now.Before(at) {
			result[name] = engine.EvacuationPending
			next(at)
			continue
		}
		if !d.inForce {
			d.inForce = true
			l.domains[name] = d
			_ = level.Info(l.logger).Log("msg", "evacuation in force", "domain", name)
		}
		result[name] = engine.EvacuationInForce
	}
	if !l.restored.until.IsZero() {
		next(l.restored.until)
	}
	return result, again
}

// ReturnedAt returns when a domain was last taken back, or zero if that is long ago.
func (l *Ledger) ReturnedAt(name string) time.Time { return l.returned[name].at }
