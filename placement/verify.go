package placement

import (
	"fmt"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// RuleError is returned for a planned placement that violates a rule. The check
// protects the stored placement from a faulty policy.
type RuleError struct {
	Group    string
	Instance string
	Rule     string
}

// Error implements error.
func (e *RuleError) Error() string {
	return fmt.Sprintf("planned group %s, instance %q: %s", e.Group, e.Instance, e.Rule)
}

// verify checks the change from the current placement to next: generations only
// increase, a group whose members change gets a new generation, and a new member
// of a group was in no group and reported that it is idle.
func verify(input *Input, next *fleet.Placement) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if next.NextGeneration < input.Current.NextGeneration {
		return &RuleError{Rule: "the next generation decreases"}
	}
	owner := make(map[string]string)
	for i := range input.Current.Groups {
		for _, m := range input.Current.Groups[i].Members {
			owner[m.Instance] = input.Current.Groups[i].Name
		}
	}
	for i := range next.Groups {
		if err := verifyGroup(input, &next.Groups[i], owner); err != nil {
			return err
		}
	}
	return nil
}

func verifyGroup(input *Input, g *fleet.PlacedGroup, owner map[string]string) error {
	before := input.Current.Group(g.Name)
	same := before != nil && slices.Equal(before.Members, g.Members) &&
		before.Version == g.Version && before.Service == g.Service
	switch {
	case same && before.Generation == g.Generation:
		return nil
	case g.Generation < input.Current.NextGeneration:
		return &RuleError{Group: g.Name, Rule: "changed without a new generation"}
	}
	for _, m := range g.Members {
		group, placed := owner[m.Instance]
		if placed && group == g.Name {
			continue
		}
		view := input.Instances[m.Instance]
		if placed {
			return &RuleError{Group: g.Name, Instance: m.Instance, Rule: "is still in group " + group}
		}
		if !view.free() {
			return &RuleError{Group: g.Name, Instance: m.Instance, Rule: "has not reported itself idle"}
		}
	}
	return nil
}
