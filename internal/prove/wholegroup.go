package prove

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// WholeGroupBound is the time after the loss of a member within which requests may
// still be sent to its group.
const WholeGroupBound = 3 * time.Second

// backlogDrainTime is the time within which an engine whose process was suspended
// reads the requests that its sockets received in the meantime.
const backlogDrainTime = time.Second

// CheckWholeGroup checks that no request is sent to a group of which a member has
// been unavailable for longer than the bound, until the group is whole again, and
// that every answer delivered as complete came from a group that was whole until
// the end of the request.
func CheckWholeGroup(h *History) Result {
	r := Result{Bound: WholeGroupBound, Faults: len(h.Faults)}
	groups := membersByGroup(placementWrites(h, &r), &r)
	engines := newTimelines(h)
	for i := range h.Events {
		if h.Events[i].Kind == standin.EventArrive {
			checkArrival(h, &h.Events[i], groups, engines, &r)
		}
	}
	checkCompleteAnswers(h, groups, &r)
	requireLongOutage(groups, engines, &r)
	r.RequireActivity()
	return r
}

// checkArrival checks one request that reached an engine.
func checkArrival(h *History, e *standin.Event, groups map[groupID][]string, engines timelines, r *Result) {
	group := groupID{e.Request.Group, e.Request.Generation}
	members, known := groups[group]
	if !known {
		r.Fail("%s got a request for generation %d of group %s, which was never placed", e.Instance, group.generation, group.name)
		return
	}
	if members[0] != e.Instance {
		r.Fail("%s got a request for group %s whose rank 0 is %s", e.Instance, group.name, members[0])
		return
	}
	r.Operations++
	for rank, member := range members {
		since, unavailable := engines.unavailableSince(member, group, rank, e.At)
		switch {
		case unavailable && since.IsZero():
			r.Fail("a request was sent to generation %d of group %s before %s was its rank %d",
				group.generation, group.name, member, rank)
		case unavailable:
			r.CheckBound(max(earliestSend(h, e).Sub(since), 0), "a request was sent to group %s although its member %s was unavailable", group.name, member)
		}
	}
}

// earliestSend returns the earliest time at which a request that arrived may have
// been sent. An engine whose process was suspended reads the requests sent in the
// meantime when it resumes.
func earliestSend(h *History, e *standin.Event) time.Time {
	sent := e.At
	for _, f := range h.Faults {
		stops := f.Kind == FaultFreezeEngine || f.Kind == FaultFreezeFabricDomain
		if stops && slices.Contains(strings.Fields(f.Target), e.Instance) && f.From.Before(sent) &&
			(f.To.IsZero() || e.At.Before(f.To.Add(backlogDrainTime))) {
			sent = f.From
		}
	}
	return sent
}

// checkCompleteAnswers adds a violation for each completion delivered as complete
// that no group finished with all its members, or whose text is not the expected
// one.
func checkCompleteAnswers(h *History, groups map[groupID][]string, r *Result) {
	type prompt struct{ organisation, text string }
	finished := map[prompt]bool{}
	steps := map[string]map[string]bool{}
	for i := range h.Events {
		e := &h.Events[i]
		switch {
		case e.Step != nil:
			if steps[e.Step.Attempt] == nil {
				steps[e.Step.Attempt] = map[string]bool{}
			}
			steps[e.Step.Attempt][e.Instance] = true
		case e.Kind == standin.EventEnd && e.Request.Complete:
			others := groups[groupID{e.Request.Group, e.Request.Generation}]
			whole := len(others) > 0
			for _, member := range others {
				whole = whole && (member == e.Instance || steps[e.Request.Attempt][member])
			}
			if whole {
				finished[prompt{e.Request.Organisation, e.Request.Prompt}] = true
			}
		}
	}
	for _, o := range h.Operations {
		if o.Kind != OpCompletion || !o.OK {
			continue
		}
		if !finished[prompt{o.Organisation, o.Prompt}] {
			r.Fail("completion %q was delivered as complete, but no group with all its members finished it", o.Prompt)
		}
		if o.Text != standin.Text(o.Organisation, o.Prompt, 0, o.MaxTokens) {
			r.Fail("completion %q was delivered as complete with a text other than the expected", o.Prompt)
		}
	}
}

// requireLongOutage adds a violation if no member that had been available was then
// unavailable for longer than the bound.
func requireLongOutage(groups map[groupID][]string, engines timelines, r *Result) {
	for group, members := range groups {
		for rank, member := range members {
			var since time.Time
			wasAvailable := false
			for _, s := range engines[member] {
				switch {
				case s.availableAs(group, rank):
					if !since.IsZero() && s.at.Sub(since) > r.Bound {
						return
					}
					wasAvailable, since = true, time.Time{}
				case wasAvailable && since.IsZero():
					since = s.at
				case wasAvailable && s.at.Sub(since) > r.Bound:
					return
				}
			}
		}
	}
	r.Fail("no group member was unavailable for longer than %s, so the bound was not tested", r.Bound)
}
