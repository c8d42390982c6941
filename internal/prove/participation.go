package prove

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// participation is a period in which an engine worked on a request for a group.
type participation struct {
	group    groupID
	from, to time.Time
}

// participations returns the periods by instance. At rank 0 a period lasts from the
// start of a request to its end. At other members it lasts from the first
// collective step of an attempt to the last one, or to the end of the request if
// it was completed.
func participations(h *History) map[string][]participation {
	type memberAttempt struct{ instance, attempt string }
	periods := map[memberAttempt]*participation{}
	completed := map[string]time.Time{}
	for i := range h.Events {
		e := &h.Events[i]
		switch {
		case e.Kind == standin.EventBegin:
			periods[memberAttempt{e.Instance, e.Request.Attempt}] = &participation{
				group: groupID{e.Request.Group, e.Request.Generation}, from: e.At,
			}
		case e.Kind == standin.EventEnd:
			if p := periods[memberAttempt{e.Instance, e.Request.Attempt}]; p != nil {
				p.to = e.At
			}
			if e.Request.Complete {
				completed[e.Request.Attempt] = e.At
			}
		case e.Step != nil:
			id := memberAttempt{e.Instance, e.Step.Attempt}
			if periods[id] == nil {
				periods[id] = &participation{group: groupID{e.Step.Group, e.Step.Generation}, from: e.Step.First}
			}
			periods[id].to = e.Step.Last
		}
	}
	byInstance := map[string][]participation{}
	engines := newTimelines(h)
	for id, p := range periods {
		if end, ok := completed[id.attempt]; ok && end.After(p.to) {
			p.to = end
		} else if !ok {
			p.to = abortedAt(engines[id.instance], p)
		}
		byInstance[id.instance] = append(byInstance[id.instance], *p)
	}
	return byInstance
}

// abortedAt returns the time by which a request that was not completed had
// certainly stopped: the earliest of its recorded end, the change of its engine's
// role and the death of its engine's process.
func abortedAt(states []engineState, p *participation) time.Time {
	for _, s := range states {
		reassigned := s.role.Group != p.group.name || s.role.Generation != p.group.generation
		if s.at.After(p.from) && (s.killed || reassigned) && (p.to.IsZero() || s.at.Before(p.to)) {
			return s.at
		}
	}
	if p.to.IsZero() {
		return p.from
	}
	return p.to
}

// checkParticipation adds a violation for each instance that served for two groups
// at the same time.
func checkParticipation(h *History, r *Result) {
	for instance, list := range participations(h) {
		slices.SortFunc(list, func(a, b participation) int { return a.from.Compare(b.from) })
		servedUntil := map[string]time.Time{}
		for _, p := range list {
			for other, end := range servedUntil {
				if other != p.group.name && end.After(p.from) {
					r.Fail("%s served for group %s until %s and for group %s from %s", instance, other,
						end.Format(time.StampMicro), p.group.name, p.from.Format(time.StampMicro))
				}
			}
			if p.to.After(servedUntil[p.group.name]) {
				servedUntil[p.group.name] = p.to
			}
		}
	}
}
