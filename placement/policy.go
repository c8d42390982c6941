package placement

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Shortage is a configured group that lacks instances.
type Shortage struct {
	Group   fleet.Group
	Service fleet.Service
	// Vacant are the ranks to fill, in order; all ranks for an unplaced group.
	Vacant []int
	// Placed is true if the group is in the placement and keeps the members on
	// the other ranks.
	Placed bool
	// LostFor is the longest time for which a member on a vacant rank has had no
	// evidence.
	LostFor time.Duration
	// Permanent is true if the members on the vacant ranks are not waited for:
	// they are leaving or did not take their role in time, or the group is
	// withdrawn and drained.
	Permanent bool
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// ActionWait leaves the group as it is.
	ActionWait ActionKind = iota
	// ActionFill fills the vacant ranks from free instances.
	ActionFill
	// ActionWithdraw withdraws another group to free its instances.
	ActionWithdraw
)

// Action is a policy's decision on one shortage.
type Action struct {
	Kind ActionKind
	// Victim is the name of the group to withdraw for ActionWithdraw.
	Victim string
}

// Policy decides what is done for a group that lacks instances. Its methods are
// pure functions of their arguments.
type Policy interface {
	// Name is the policy's name in settings and logs.
	Name() string
	// Decide returns the action for one shortage.
	Decide(s *PlanState, short *Shortage) Action
}

// waitAction leaves the group unchanged.
var waitAction = Action{Kind: ActionWait}
