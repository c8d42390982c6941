package measure

import (
	"math/rand/v2"
	"slices"
	"time"
)

// groupsKind is a kind of physical event in a fabric domain. Events do not
// depend on the policy, so every policy meets the same ones.
type groupsKind int

const (
	// groupsDown stops an instance; groupsReturn brings it back with its old role
	// and weights, groupsRestart brings it back without either.
	groupsDown groupsKind = iota
	groupsReturn
	groupsRestart
	// groupsLeave marks an instance as leaving in the list.
	groupsLeave
	// groupsUnlist removes an instance from the list; groupsList shows it again.
	groupsUnlist
	groupsList
	// groupsReplace puts a new instance with a new identity in the slot.
	groupsReplace
)

type groupsEvent struct {
	at   time.Duration
	kind groupsKind
	slot int
}

// Durations of faults. A lost machine is replaced by the platform much later
// than a process restarts.
const (
	groupsListLag       = 30 * time.Second
	groupsLostMin       = 10 * time.Minute
	groupsLostMax       = 50 * time.Minute
	groupsRestartMin    = 20 * time.Second
	groupsRestartMax    = 90 * time.Second
	groupsLeaveFor      = time.Minute
	groupsReplaceFor    = 2 * time.Minute
	groupsPauseMin      = 3 * time.Second
	groupsPauseMax      = 40 * time.Second
	groupsDarkFor       = 10 * time.Minute
	groupsWrongFor      = 20 * time.Minute
	groupsWrongInterval = 30 * time.Second
	// groupsDesignInstances is the number of instances that the rates are for.
	groupsDesignInstances = 600
)

// groupsRates are events a day at the design point.
type groupsRates struct {
	lost, restarted, replaced, paused float64
}

// groupsDay has the 16 lost and 180 restarted or replaced instances of the
// design point, and as many short pauses as a tenth of those.
var groupsDay = groupsRates{lost: 16, restarted: 120, replaced: 60, paused: 18}

// groupsTimeline draws the events of one domain.
type groupsTimeline struct {
	random *rand.Rand
	events []groupsEvent
	// busyUntil keeps the faults of one slot apart.
	busyUntil []time.Duration
	horizon   time.Duration
}

func newGroupsTimeline(random *rand.Rand, slots int, horizon time.Duration) *groupsTimeline {
	return &groupsTimeline{random: random, busyUntil: make([]time.Duration, slots), horizon: horizon}
}

func (t *groupsTimeline) add(at time.Duration, kind groupsKind, slot int) {
	t.events = append(t.events, groupsEvent{at: at, kind: kind, slot: slot})
}

func (t *groupsTimeline) between(low, high time.Duration) time.Duration {
	return low + time.Duration(t.random.Int64N(int64(high-low)))
}

// dark stops every instance of the domain for a while.
func (t *groupsTimeline) dark(at time.Duration) {
	for slot := range t.busyUntil {
		t.add(at, groupsDown, slot)
		t.add(at+groupsDarkFor, groupsReturn, slot)
		t.busyUntil[slot] = at + groupsDarkFor + time.Minute
	}
}

// faults adds independent faults of single instances in random order of time.
func (t *groupsTimeline) faults(rates groupsRates, darkAt time.Duration) {
	total := rates.lost + rates.restarted + rates.replaced + rates.paused
	perDay := total * float64(len(t.busyUntil)) / groupsDesignInstances
	if perDay <= 0 {
		return
	}
	gap := func() time.Duration {
		return time.Duration(t.random.ExpFloat64() / perDay * float64(24*time.Hour))
	}
	for at := gap(); at < t.horizon; at += gap() {
		slot := t.random.IntN(len(t.busyUntil))
		kind := t.random.Float64() * total
		if at < t.busyUntil[slot] || (darkAt > 0 && at > darkAt-time.Hour && at < darkAt) {
			continue
		}
		t.busyUntil[slot] = t.fault(at, slot, kind, rates) + time.Minute
	}
}

// fault adds one fault and returns when it is over.
func (t *groupsTimeline) fault(at time.Duration, slot int, kind float64, rates groupsRates) time.Duration {
	switch {
	case kind < rates.lost:
		end := at + t.between(groupsLostMin, groupsLostMax)
		t.add(at, groupsDown, slot)
		t.add(at+groupsListLag, groupsUnlist, slot)
		t.add(end, groupsReplace, slot)
		return end
	case kind < rates.lost+rates.restarted:
		end := at + t.between(groupsRestartMin, groupsRestartMax)
		t.add(at, groupsDown, slot)
		t.add(end, groupsRestart, slot)
		return end
	case kind < rates.lost+rates.restarted+rates.replaced:
		gone := at + groupsLeaveFor
		t.add(at, groupsLeave, slot)
		t.add(gone, groupsDown, slot)
		t.add(gone, groupsUnlist, slot)
		t.add(gone+groupsReplaceFor, groupsReplace, slot)
		return gone + groupsReplaceFor
	}
	end := at + t.between(groupsPauseMin, groupsPauseMax)
	t.add(at, groupsDown, slot)
	t.add(end, groupsReturn, slot)
	return end
}

// wrongList removes another quarter of the instances from the list every half
// minute although they run.
func (t *groupsTimeline) wrongList(from time.Duration) {
	for at := from; at < from+groupsWrongFor; at += groupsWrongInterval {
		for slot := range t.busyUntil {
			if t.random.IntN(4) == 0 {
				t.add(at, groupsUnlist, slot)
				t.add(at+groupsWrongInterval, groupsList, slot)
			}
		}
	}
}

func (t *groupsTimeline) sorted() []groupsEvent {
	slices.SortStableFunc(t.events, func(a, b groupsEvent) int { return int(a.at - b.at) })
	return t.events
}
