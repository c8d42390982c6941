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
	// Placed tells whether the group keeps members on the other ranks.
	Placed bool
	// Silent is how long the vacant ranks have had no evidence, at least.
	Silent time.Duration
	// Prompt tells that the vacant members will not come back: they are leaving
	// or did not take their role in time.
	Prompt bool
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// ActionWait leaves the group as it is.
	ActionWait ActionKind = iota
	// ActionFill fills the vacant ranks from free instances.
	ActionFill
	// ActionBreak withdraws another group to free its instances.
	ActionBreak
)

// Action is a policy's decision on one shortage.
type Action struct {
	Kind ActionKind
	// Victim is the group to withdraw for ActionBreak.
	Victim string
}

// Policy decides what is done for a group that lacks instances. A policy is a
// pure function of its arguments.
type Policy interface {
	// Name is the policy's name in settings and logs.
	Name() string
	// Decide returns the action for one shortage.
	Decide(s *Situation, short *Shortage) Action
}

// waiting is the action that changes nothing.
var waiting = Action{Kind: ActionWait}
