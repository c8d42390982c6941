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

// TestChecks runs the specs of the checks, which use hand-made histories.
func TestChecks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checks of histories")
}

// historyStart is the start time of the hand-made histories.
var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// historyBuilder builds a history by hand. Times are in seconds after historyStart.
type historyBuilder struct{ History }

// at returns the time of a hand-made history.
func at(seconds float64) time.Time {
	return historyStart.Add(time.Duration(seconds * float64(time.Second)))
}

// event adds an event with the given time.
func (b *historyBuilder) event(seconds float64, e standin.Event) {
	e.At = at(seconds)
	b.Events = append(b.Events, e)
}

// place adds the write of a placement with the groups; next is its next generation.
func (b *historyBuilder) place(seconds float64, next fleet.Generation, groups ...fleet.PlacedGroup) {
	value, err := json.Marshal(fleet.Placement{FabricDomain: "f", NextGeneration: next, Groups: groups})
	Expect(err).NotTo(HaveOccurred())
	b.event(seconds, standin.Event{Kind: standin.EventWrite, Write: &standin.WriteRecord{Key: "placement/f", Value: value}})
}

// placedGroup returns a group of a placement; members are instance IDs by rank.
func placedGroup(name string, generation fleet.Generation, members ...string) fleet.PlacedGroup {
	g := fleet.PlacedGroup{Name: name, Generation: generation}
	for _, m := range members {
		g.Members = append(g.Members, fleet.GroupMember{Instance: m})
	}
	return g
}

// role adds an engine's change of role; an empty group means idle.
func (b *historyBuilder) role(seconds float64, instance, group string, generation fleet.Generation, rank int) {
	state := fleet.EngineReady
	if group == "" {
		state = fleet.EngineIdle
	}
	b.event(seconds, standin.Event{Kind: standin.EventRole, Instance: instance, Role: &standin.RoleChange{
		Group: group, Generation: generation, Rank: rank, State: state,
	}})
}

// request adds an engine's event about a request; EventEnd completes the request.
func (b *historyBuilder) request(seconds float64, kind standin.EventKind, instance, attempt, group string, generation fleet.Generation) {
	b.event(seconds, standin.Event{Kind: kind, Instance: instance, Request: &standin.RequestRecord{
		Attempt: attempt, Group: group, Generation: generation, Organisation: "org", Prompt: attempt,
		Complete: kind == standin.EventEnd,
	}})
}

// step adds the collective step of an attempt at one member.
func (b *historyBuilder) step(first, last float64, instance, attempt, group string, generation fleet.Generation) {
	b.event(last, standin.Event{Kind: standin.EventStep, Instance: instance, Step: &standin.StepRecord{
		Attempt: attempt, Group: group, Generation: generation, First: at(first), Last: at(last), Steps: 1,
	}})
}

// fault adds a fault; it lasts to the end if to is 0.
func (b *historyBuilder) fault(kind, target string, from, to float64) {
	f := Fault{Kind: kind, Target: target, From: at(from)}
	if to > 0 {
		f.To = at(to)
	}
	b.Faults = append(b.Faults, f)
}

// list adds a change of the visible instance list, which shows these instances as
// leaving.
func (b *historyBuilder) list(seconds float64, leaving ...string) {
	b.event(seconds, standin.Event{Kind: standin.EventList, Leaving: leaving})
}

// expectNoViolations fails the spec if the result has a violation.
func expectNoViolations(r Result) { GinkgoHelper(); Expect(r.Violations).To(BeEmpty()) }

// expectViolation fails the spec unless a violation contains text.
func expectViolation(r Result, text string) {
	GinkgoHelper()
	Expect(r.Violations).To(ContainElement(ContainSubstring(text)))
}
