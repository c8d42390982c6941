package formation

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/engine"
)

// reportInterval is the time between two log lines on the state of all groups.
const reportInterval = time.Second

// groupCounts is the number of groups of one model by state.
type groupCounts struct {
	serving, spanning, forming, broken int
	brokenGroups                       []string
}

// report logs how many groups each model has and needs, and updates the gauges.
func (c *Controller) report(s *Snapshot) {
	if s.Now.Sub(c.lastReport) < reportInterval {
		return
	}
	c.lastReport = s.Now
	free, need := s.free(), s.needs()
	idle := 0
	for _, list := range free {
		idle += len(list)
	}
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		n := s.countGroups(m.Name)
		warm := len(free.warm(m.Name))
		capacity := s.capacity(m)
		gauge := func(name string) metrics.GaugeFloat64 {
			return metrics.GetOrRegisterGaugeFloat64(fmt.Sprintf("formation.%s.size_%d", name, m.Size), c.Registry)
		}
		metrics.GetOrRegisterGauge(fmt.Sprintf("formation.serving_groups.size_%d", m.Size), c.Registry).Update(int64(n.serving))
		gauge("capacity").Update(capacity)
		gauge("full_groups").Update(need.full[m.Name])
		_ = level.Info(c.Logger).Log("msg", "group state of model", "model", m.Name, "size", m.Size, "serving", n.serving,
			"across", n.spanning, "forming", n.forming, "broken", n.broken, "capacity", fmt.Sprintf("%.1f", capacity),
			"full", fmt.Sprintf("%.1f", need.full[m.Name]), "local_groups", s.localGroups(free, m),
			"needed", fmt.Sprintf("%.1f", need.target[m.Name]), "demand", fmt.Sprintf("%.1f", s.Demand[m.Name]),
			"broken_groups", strings.Join(n.brokenGroups, ","),
			"instances", len(s.Instances), "free", idle, "warm", warm, "loading", len(s.Staging), "may_load", s.Loads, "evacuated", len(s.Evacuated))
	}
}

// countGroups returns the number of groups of a model by state.
func (s *Snapshot) countGroups(model string) groupCounts {
	var n groupCounts
	for _, g := range s.Groups {
		if g.Model != model {
			continue
		}
		switch {
		case g.IsServing(s.size(g)):
			n.serving++
			if g.SpansDomains() {
				n.spanning++
			}
		case s.isViable(g):
			n.forming++
		default:
			n.broken++
			n.brokenGroups = append(n.brokenGroups, describe(g))
		}
	}
	return n
}

// describe returns a group's name and the phases of its members by rank.
func describe(g *engine.Group) string {
	text := g.ID.Name
	for _, in := range g.Members {
		text += fmt.Sprintf(" %d:%s", in.Membership.Rank, in.Membership.Phase)
		if in.Leaving {
			text += "(leaving)"
		}
	}
	return text
}
