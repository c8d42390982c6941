package prove

import (
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

// participation is a time in which an engine served for a group.
type participation struct {
	group    groupID
	from, to time.Time
}

// participations returns the times by instance: at rank 0 from the begin of a
// request to its end, at other members from the first collective step of an
// attempt to the last, or to the end of a request that was completed.
func participations(h *History) map[string][]participation {
	type part struct{ instance, attempt string }
	open := map[part]*participation{}
	completed := map[string]time.Time{}
	for i := range h.Events {
		e := &h.Events[i]
		switch {
		case e.Kind == standin.EventBegin:
			open[part{e.Instance, e.Request.Attempt}] = &participation{
				group: groupID{e.Request.Group, e.Request.Generation}, from: e.At,
			}
		case e.Kind == standin.EventEnd:
			if p := open[part{e.Instance, e.Request.Attempt}]; p != nil {
				p.to = e.At
			}
			if e.Request.Complete {
				completed[e.Request.Attempt] = e.At
			}
		case e.Step != nil:
			id := part{e.Instance, e.Step.Attempt}
			if open[id] == nil {
				open[id] = &participation{group: groupID{e.Step.Group, e.Step.Generation}, from: e.Step.First}
			}
			open[id].to = e.Step.Last
		}
	}
	changes := map[string][]participation{}
	lines := newTimelines(h)
	for id, p := range open {
		if end, ok := completed[id.attempt]; ok && end.After(p.to) {
			p.to = end
		} else if !ok {
			p.to = abortedAt(lines[id.instance], p)
		}
		changes[id.instance] = append(changes[id.instance], *p)
	}
	return changes
}

// abortedAt returns when a request that was not completed stopped for certain:
// at its end, when its engine gave up the role, or when its process died.
func abortedAt(line []condition, p *participation) time.Time {
	for _, c := range line {
		other := c.role.Group != p.group.name || c.role.Generation != p.group.generation
		if c.at.After(p.from) && (c.dead || other) && (p.to.IsZero() || c.at.Before(p.to)) {
			return c.at
		}
	}
	if p.to.IsZero() {
		return p.from
	}
	return p.to
}

// checkParticipation finds instances that served for two groups at once.
func checkParticipation(h *History, r *Result) {
	for instance, list := range participations(h) {
		slices.SortFunc(list, func(a, b participation) int { return a.from.Compare(b.from) })
		until := map[string]time.Time{}
		for _, p := range list {
			for other, end := range until {
				if other != p.group.name && end.After(p.from) {
					r.Fail("%s served for group %s until %s and for group %s from %s", instance, other,
						end.Format(time.StampMicro), p.group.name, p.from.Format(time.StampMicro))
				}
			}
			if p.to.After(until[p.group.name]) {
				until[p.group.name] = p.to
			}
		}
	}
}
