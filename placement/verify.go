package placement

import (
	"fmt"
	"slices"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// RuleError tells which rule a planned placement breaks. It guards the durable
// state against a faulty policy.
type RuleError struct {
	Group    string
	Instance string
	Rule     string
}

// Error implements error.
func (e *RuleError) Error() string {
	return fmt.Sprintf("planned group %s, instance %q: %s", e.Group, e.Instance, e.Rule)
}

// verify checks a step from the current placement to next: generations only
// grow and change with every change of members, and a new member of a group was
// in no group and reported itself idle.
func verify(in *Input, next *fleet.Placement) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if next.NextGeneration < in.Current.NextGeneration {
		return &RuleError{Rule: "the next generation decreases"}
	}
	owner := make(map[string]string)
	for i := range in.Current.Groups {
		for _, m := range in.Current.Groups[i].Members {
			owner[m.Instance] = in.Current.Groups[i].Name
		}
	}
	for i := range next.Groups {
		if err := verifyGroup(in, &next.Groups[i], owner); err != nil {
			return err
		}
	}
	return nil
}

func verifyGroup(in *Input, g *fleet.PlacedGroup, owner map[string]string) error {
	before := in.Current.Group(g.Name)
	same := before != nil && slices.Equal(before.Members, g.Members) &&
		before.Version == g.Version && before.Service == g.Service
	switch {
	case same && before.Generation == g.Generation:
		return nil
	case g.Generation < in.Current.NextGeneration:
		return &RuleError{Group: g.Name, Rule: "changed without a new generation"}
	}
	for _, m := range g.Members {
		group, placed := owner[m.Instance]
		if placed && group == g.Name {
			continue
		}
		view := in.Instances[m.Instance]
		if placed {
			return &RuleError{Group: g.Name, Instance: m.Instance, Rule: "is still in group " + group}
		}
		if !view.free() {
			return &RuleError{Group: g.Name, Instance: m.Instance, Rule: "has not reported itself idle"}
		}
	}
	return nil
}
