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

// census counts the instances and groups of one model.
type census struct {
	serving, across, forming, broken int
	brokenGroups                     []string
}

// report logs how many groups each model has, against those that it needs.
func (c *Controller) report(s *Situation) {
	if s.Now.Sub(c.reported) < reportInterval {
		return
	}
	c.reported = s.Now
	free, need := s.free(), s.needs()
	idle := 0
	for _, list := range free {
		idle += len(list)
	}
	for i := range s.Profile.Models {
		m := &s.Profile.Models[i]
		n := s.census(m.Name)
		warm := len(free.warm(m.Name))
		capacity := s.capacity(m)
		gauge := func(name string) metrics.GaugeFloat64 {
			return metrics.GetOrRegisterGaugeFloat64(fmt.Sprintf("formation.%s.size_%d", name, m.Size), c.Registry)
		}
		metrics.GetOrRegisterGauge(fmt.Sprintf("formation.serving_groups.size_%d", m.Size), c.Registry).Update(int64(n.serving))
		gauge("capacity").Update(capacity)
		gauge("full_groups").Update(need.full[m.Name])
		_ = level.Info(c.Logger).Log("msg", "groups", "model", m.Name, "size", m.Size, "serving", n.serving,
			"across", n.across, "forming", n.forming, "broken", n.broken, "capacity", fmt.Sprintf("%.1f", capacity),
			"full", fmt.Sprintf("%.1f", need.full[m.Name]), "local_groups", s.localGroups(free, m),
			"needed", fmt.Sprintf("%.1f", need.target[m.Name]), "demand", fmt.Sprintf("%.1f", s.Demand[m.Name]),
			"broken_groups", strings.Join(n.brokenGroups, ","),
			"instances", len(s.Instances), "free", idle, "warm", warm, "loading", len(s.Staging), "may_load", s.Loads)
	}
}

// census counts the groups of a model by state.
func (s *Situation) census(model string) census {
	var n census
	for _, g := range s.Groups {
		if g.Model != model {
			continue
		}
		switch {
		case g.Serving(s.size(g)):
			n.serving++
			if g.SpansDomains() {
				n.across++
			}
		case s.keeps(g):
			n.forming++
		default:
			n.broken++
			n.brokenGroups = append(n.brokenGroups, describe(g))
		}
	}
	return n
}

// describe names a group with the states of its members by rank.
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
