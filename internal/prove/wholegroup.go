package prove

import (
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// WholeGroupBound is the time from the loss of a member to the last request
// sent to its group.
const WholeGroupBound = 3 * time.Second

// queueDrain is the time in which an engine that was stopped as a process reads
// the requests that its sockets took in meanwhile.
const queueDrain = time.Second

// CheckWholeGroup checks that no request is sent to a group whose member has
// been gone for longer than the bound until the group is whole again, and that
// every answer told as whole came from a group that was whole to its end.
func CheckWholeGroup(h *History) Result {
	r := Result{Bound: WholeGroupBound, Faults: len(h.Faults)}
	groups := placedGroups(placementWrites(h, &r), &r)
	lines := newTimelines(h)
	for i := range h.Events {
		if h.Events[i].Kind == standin.EventArrive {
			checkSent(h, &h.Events[i], groups, lines, &r)
		}
	}
	checkWholeAnswers(h, groups, &r)
	requireLongLoss(groups, lines, &r)
	r.RequireActivity()
	return r
}

// checkSent judges one request that reached an engine.
func checkSent(h *History, e *standin.Event, groups map[groupID][]string, lines timelines, r *Result) {
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
		since, lost := lines.lostSince(member, group, rank, e.At)
		switch {
		case lost && since.IsZero():
			r.Fail("a request was sent to generation %d of group %s before %s was its rank %d",
				group.generation, group.name, member, rank)
		case lost:
			r.Late(max(sentBy(h, e).Sub(since), 0), "a request was sent to group %s although %s was gone", group.name, member)
		}
	}
}

// sentBy returns the earliest time at which a request may have been sent. An
// engine whose process was stopped reads on resuming what was sent meanwhile.
func sentBy(h *History, e *standin.Event) time.Time {
	sent := e.At
	for _, f := range h.Faults {
		stops := f.Kind == FaultFreezeEngine || f.Kind == FaultDarkDomain
		if stops && slices.Contains(strings.Fields(f.Target), e.Instance) && f.From.Before(sent) &&
			(f.To.IsZero() || e.At.Before(f.To.Add(queueDrain))) {
			sent = f.From
		}
	}
	return sent
}

// checkWholeAnswers finds completions told as whole that no group finished with
// all its members, or whose text is not the one asked for.
func checkWholeAnswers(h *History, groups map[groupID][]string, r *Result) {
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
			r.Fail("%q was told as whole but no whole group finished it", o.Prompt)
		}
		if o.Text != standin.Text(o.Organisation, o.Prompt, 0, o.MaxTokens) {
			r.Fail("%q was told as whole with another text", o.Prompt)
		}
	}
}

// requireLongLoss fails a run in which no member that had filled its rank was
// gone for longer than the bound.
func requireLongLoss(groups map[groupID][]string, lines timelines, r *Result) {
	for group, members := range groups {
		for rank, member := range members {
			var since time.Time
			filled := false
			for _, c := range lines[member] {
				switch {
				case c.fills(group, rank):
					if !since.IsZero() && c.at.Sub(since) > r.Bound {
						return
					}
					filled, since = true, time.Time{}
				case filled && since.IsZero():
					since = c.at
				case filled && c.at.Sub(since) > r.Bound:
					return
				}
			}
		}
	}
	r.Fail("no member of a group was gone for longer than %s", r.Bound)
}
