package prove

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
)

func TestChecks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checks of histories")
}

// epoch is the begin of the hand-made histories.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// script builds a history; times are in seconds.
type script struct{ History }

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func (s *script) event(seconds float64, e standin.Event) {
	e.At = at(seconds)
	s.Events = append(s.Events, e)
}

// place writes a placement; each group is a name, its generation and members.
func (s *script) place(seconds float64, next fleet.Generation, groups ...fleet.PlacedGroup) {
	value, err := json.Marshal(fleet.Placement{FabricDomain: "f", NextGeneration: next, Groups: groups})
	Expect(err).NotTo(HaveOccurred())
	s.event(seconds, standin.Event{Kind: standin.EventWrite, Write: &standin.WriteRecord{Key: "placement/f", Value: value}})
}

func placedGroup(name string, generation fleet.Generation, members ...string) fleet.PlacedGroup {
	g := fleet.PlacedGroup{Name: name, Generation: generation}
	for _, m := range members {
		g.Members = append(g.Members, fleet.GroupMember{Instance: m})
	}
	return g
}

func (s *script) role(seconds float64, instance, group string, generation fleet.Generation, rank int) {
	state := fleet.EngineReady
	if group == "" {
		state = fleet.EngineIdle
	}
	s.event(seconds, standin.Event{Kind: standin.EventRole, Instance: instance, Role: &standin.RoleChange{
		Group: group, Generation: generation, Rank: rank, State: state,
	}})
}

func (s *script) request(seconds float64, kind standin.EventKind, instance, attempt, group string, generation fleet.Generation) {
	s.event(seconds, standin.Event{Kind: kind, Instance: instance, Request: &standin.RequestRecord{
		Attempt: attempt, Group: group, Generation: generation, Organisation: "org", Prompt: attempt,
		Complete: kind == standin.EventEnd,
	}})
}

func (s *script) step(first, last float64, instance, attempt, group string, generation fleet.Generation) {
	s.event(last, standin.Event{Kind: standin.EventStep, Instance: instance, Step: &standin.StepRecord{
		Attempt: attempt, Group: group, Generation: generation, First: at(first), Last: at(last), Steps: 1,
	}})
}

func (s *script) fault(kind, target string, from, to float64) {
	f := Fault{Kind: kind, Target: target, From: at(from)}
	if to > 0 {
		f.To = at(to)
	}
	s.Faults = append(s.Faults, f)
}

func (s *script) list(seconds float64, leaving ...string) {
	s.event(seconds, standin.Event{Kind: standin.EventList, Leaving: leaving})
}

func holds(r Result) { GinkgoHelper(); Expect(r.Problems).To(BeEmpty()) }

func violates(r Result, text string) {
	GinkgoHelper()
	Expect(r.Problems).To(ContainElement(ContainSubstring(text)))
}
