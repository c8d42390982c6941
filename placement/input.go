package placement

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Defaults of Limits.
const (
	// DefaultRepairDelay is the time without evidence after which a member
	// counts as lost.
	DefaultRepairDelay = 10 * time.Second
	// DefaultFormingAllowance is the time a member has to load weights and
	// report its role.
	DefaultFormingAllowance = 3 * time.Minute
	// DefaultDrainAllowance is longer than most requests take.
	DefaultDrainAllowance = 2 * time.Minute
	// DefaultMinDrain is longer than a placement takes to reach every node.
	DefaultMinDrain = 2500 * time.Millisecond
)

// Limits are the planner's time limits. Zero fields take the defaults.
type Limits struct {
	// RepairDelay is the time without evidence after which a member counts as
	// lost.
	RepairDelay time.Duration
	// FormingAllowance is the time a member has to load weights and report its
	// role.
	FormingAllowance time.Duration
	// DrainAllowance is the longest time for which a withdrawn group is
	// drained, unless a request of its service may take longer.
	DrainAllowance time.Duration
	// MinDrain is the shortest time for which a group stays withdrawn, so that
	// every node has received the update before the members are released.
	MinDrain time.Duration
}

func (l *Limits) setDefaults() {
	if l.RepairDelay <= 0 {
		l.RepairDelay = DefaultRepairDelay
	}
	if l.FormingAllowance <= 0 {
		l.FormingAllowance = DefaultFormingAllowance
	}
	if l.DrainAllowance <= 0 {
		l.DrainAllowance = DefaultDrainAllowance
	}
	if l.MinDrain <= 0 {
		l.MinDrain = DefaultMinDrain
	}
}

// InstanceView is the observed state of one instance.
type InstanceView struct {
	// Entry is the newest entry in the instance list.
	Entry fleet.Instance
	// Listed is true if the instance list contains the instance now.
	Listed bool
	// Fresh is true if there is evidence within its time-to-live.
	Fresh bool
	// Report is the newest report; it is meaningful only if Fresh.
	Report fleet.Report
	// ObservedAt is the time just before the probe that returned Report
	// was sent.
	ObservedAt time.Time
	// LostFor is how long the instance has had no evidence while this process
	// was observing it. It does not grow while the process is paused.
	LostFor time.Duration
	// UnfilledFor is how long a placed member has not reported that it is ready
	// in its role, while this process was observing it. It is zero for other
	// instances.
	UnfilledFor time.Duration
	// UnplacedAt is when this process first saw that the instance is in no
	// group; zero for members.
	UnplacedAt time.Time
	// IdleAfter is the time after which a probe must have been sent for
	// its idle report to make the instance free. It is not before the newest
	// release and not before the evidence from the time of its last group has
	// expired.
	IdleAfter time.Time
}

// leaving reports whether the instance is leaving and must get no new work.
func (v *InstanceView) leaving() bool {
	return (v.Listed && v.Entry.State == fleet.InstanceLeaving) ||
		(v.Fresh && v.Report.State == fleet.EngineLeaving)
}

// free reports whether the instance may be placed in any group.
func (v *InstanceView) free() bool {
	return v.Listed && !v.leaving() && v.Fresh && v.Report.Free() && v.ObservedAt.After(v.IdleAfter)
}

// Input is the observed state from which a plan is made.
type Input struct {
	FabricDomain string
	// Groups are the configured groups of the domain.
	Groups []fleet.Group
	// Services maps names to the configured services.
	Services map[string]fleet.Service
	Current  fleet.Placement
	// Instances holds every instance of the domain and every placed member.
	Instances map[string]InstanceView
	// GroupAge maps each generation to the time since its last change of phase.
	GroupAge map[fleet.Generation]time.Duration
	// LoadsAllowed is the number of weight loads that may start now. While it is
	// positive a group may be formed, even if the group needs more loads.
	LoadsAllowed int
	Limits       Limits
	Now          time.Time
}

// Result is the outcome of a plan.
type Result struct {
	// Next is the new placement, or the current one if Changed is false.
	Next    fleet.Placement
	Changed bool
	// Loads is the number of weight loads that the change starts.
	Loads int
	// Reasons describe the changes, for the log.
	Reasons []string
}
