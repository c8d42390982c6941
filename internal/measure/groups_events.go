package measure

import (
	"math/rand/v2"
	"slices"
	"time"
)

// groupsEventKind is a kind of physical event in a fabric domain. Events do not
// depend on the policy, so every policy gets the same ones.
type groupsEventKind int

const (
	// groupsDown stops an instance.
	groupsDown groupsEventKind = iota
	// groupsReturn starts a stopped instance again with its old role and weights.
	groupsReturn
	// groupsRestart starts a stopped instance again without role and weights.
	groupsRestart
	// groupsLeave marks an instance as leaving in the list.
	groupsLeave
	// groupsUnlist removes an instance from the list.
	groupsUnlist
	// groupsList adds a removed instance to the list again.
	groupsList
	// groupsReplace puts a new instance with a new identity in the slot.
	groupsReplace
)

type groupsEvent struct {
	at   time.Duration
	kind groupsEventKind
	slot int
}

// Durations of faults. The platform replaces a lost instance much later than a
// process restarts.
const (
	// groupsListLag is the time from a loss or return to the change of the list.
	groupsListLag           = 30 * time.Second
	groupsLostMin           = 10 * time.Minute
	groupsLostMax           = 50 * time.Minute
	groupsRestartMin        = 20 * time.Second
	groupsRestartMax        = 90 * time.Second
	groupsLeaveTime         = time.Minute
	groupsReplaceTime       = 2 * time.Minute
	groupsPauseMin          = 3 * time.Second
	groupsPauseMax          = 40 * time.Second
	groupsOutageTime        = 10 * time.Minute
	groupsWrongListTime     = 20 * time.Minute
	groupsWrongListInterval = 30 * time.Second
	// groupsDesignInstances is the number of instances to which groupsRates apply.
	groupsDesignInstances = 600
)

// groupsRates are the numbers of faults per day at the design point.
type groupsRates struct {
	lost, restarted, replaced, paused float64
}

// groupsDailyFaults are the 16 lost and 180 restarted or replaced instances per day of
// the design point, and short pauses at a tenth of the latter rate.
var groupsDailyFaults = groupsRates{lost: 16, restarted: 120, replaced: 60, paused: 18}

// groupsTimeline generates the events of one fabric domain.
type groupsTimeline struct {
	random *rand.Rand
	events []groupsEvent
	// busyUntil is the time, for each slot, before which it gets no further fault.
	busyUntil []time.Duration
	horizon   time.Duration
}

func newGroupsTimeline(random *rand.Rand, slots int, horizon time.Duration) *groupsTimeline {
	return &groupsTimeline{random: random, busyUntil: make([]time.Duration, slots), horizon: horizon}
}

func (t *groupsTimeline) add(at time.Duration, kind groupsEventKind, slot int) {
	t.events = append(t.events, groupsEvent{at: at, kind: kind, slot: slot})
}

func (t *groupsTimeline) between(low, high time.Duration) time.Duration {
	return low + time.Duration(t.random.Int64N(int64(high-low)))
}

// domainOutage stops every instance of the domain for groupsOutageTime.
func (t *groupsTimeline) domainOutage(at time.Duration) {
	for slot := range t.busyUntil {
		t.add(at, groupsDown, slot)
		t.add(at+groupsOutageTime, groupsReturn, slot)
		t.busyUntil[slot] = at + groupsOutageTime + time.Minute
	}
}

// faults adds independent faults of single instances at random times. None begins in
// the hour before outageAt, unless that is 0.
func (t *groupsTimeline) faults(rates groupsRates, outageAt time.Duration) {
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
		if at < t.busyUntil[slot] || (outageAt > 0 && at > outageAt-time.Hour && at < outageAt) {
			continue
		}
		t.busyUntil[slot] = t.fault(at, slot, kind, rates) + time.Minute
	}
}

// fault adds one fault and returns the time at which it ends.
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
		gone := at + groupsLeaveTime
		t.add(at, groupsLeave, slot)
		t.add(gone, groupsDown, slot)
		t.add(gone, groupsUnlist, slot)
		t.add(gone+groupsReplaceTime, groupsReplace, slot)
		return gone + groupsReplaceTime
	}
	end := at + t.between(groupsPauseMin, groupsPauseMax)
	t.add(at, groupsDown, slot)
	t.add(end, groupsReturn, slot)
	return end
}

// wrongList removes a new random quarter of the instances from the list every half
// minute although they run.
func (t *groupsTimeline) wrongList(from time.Duration) {
	for at := from; at < from+groupsWrongListTime; at += groupsWrongListInterval {
		for slot := range t.busyUntil {
			if t.random.IntN(4) == 0 {
				t.add(at, groupsUnlist, slot)
				t.add(at+groupsWrongListInterval, groupsList, slot)
			}
		}
	}
}

func (t *groupsTimeline) sorted() []groupsEvent {
	slices.SortStableFunc(t.events, func(a, b groupsEvent) int { return int(a.at - b.at) })
	return t.events
}
