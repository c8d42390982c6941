package formation

import (
	"slices"

	"github.com/rattanlanding/rattanlanding/engine"
)

// Withdraw takes the instances of evacuated failure domains, and the groups with a member
// there, out of a snapshot of all instances. Groups that lie wholly in such domains get no
// commands, so that they serve again as soon as the evacuation ends.
func (s *Snapshot) Withdraw(evacuations engine.Evacuations) {
	if len(evacuations) == 0 {
		return
	}
	isEvacuated := func(in *engine.Instance) bool { return evacuations.Of(in) != 0 }
	for _, in := range s.Instances {
		if isEvacuated(in) {
			s.Evacuated = append(s.Evacuated, in)
		}
	}
	s.Instances = slices.DeleteFunc(slices.Clone(s.Instances), isEvacuated)
	groups := s.Groups
	s.Groups = nil
	for _, g := range groups {
		switch {
		case evacuations.Of(g.Members...) == 0:
			s.Groups = append(s.Groups, g)
		case evacuations.OfAll(g.Members...) == 0:
			s.BorderGroups = append(s.BorderGroups, g)
		}
	}
}

// releaseCommands returns the commands that close the groups with members inside and outside
// evacuated failure domains, so that the members outside can be used again. Requests in
// progress finish first.
func (s *Snapshot) releaseCommands() []engine.Command {
	var commands []engine.Command
	for _, g := range s.BorderGroups {
		head := g.Head()
		if head == nil || s.CommandPending[head.ID] {
			continue
		}
		command := engine.Command{Instance: head.ID, Address: head.Address, Group: g.ID}
		switch head.Membership.Phase {
		case engine.Ready, engine.Joining:
			command.Operation = engine.Leave
		case engine.Open:
			command.Operation = engine.CloseHead
		default:
			continue
		}
		commands = append(commands, command)
	}
	return commands
}
