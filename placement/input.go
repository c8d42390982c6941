package placement

import (
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Defaults of Limits.
const (
	// DefaultRepairDelay is the time without evidence after which a member
	// counts as gone.
	DefaultRepairDelay = 10 * time.Second
	// DefaultFormingAllowance is the time a member has to load weights and
	// report its role.
	DefaultFormingAllowance = 3 * time.Minute
	// DefaultDrainAllowance limits the drain of a withdrawn group. It is above
	// the time limit of a request.
	DefaultDrainAllowance = 2 * time.Minute
	// DefaultMinDrain is above the time a placement takes to reach every node.
	DefaultMinDrain = 2500 * time.Millisecond
)

// Limits are the planner's durations.
type Limits struct {
	RepairDelay      time.Duration
	FormingAllowance time.Duration
	DrainAllowance   time.Duration
	// MinDrain is the least time a group stays withdrawn, so that every node has
	// learnt of it before the members are released.
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

// InstanceView is what the holder knows about one instance.
type InstanceView struct {
	// Entry is the newest entry in the instance list.
	Entry fleet.Instance
	// Listed tells whether the list holds the instance now.
	Listed bool
	// Fresh tells whether evidence within its time-to-live exists.
	Fresh bool
	// Report is the newest report; it is meaningful only if Fresh.
	Report fleet.Report
	// ObservedAt is the time before the probe of Report was sent.
	ObservedAt time.Time
	// LostFor is how long this process has watched the instance without
	// evidence. It does not grow while the process is paused.
	LostFor time.Duration
	// UnfilledFor is how long this process has watched the placed member without
	// a report that fills its role. It is zero for other instances.
	UnfilledFor time.Duration
	// UnplacedAt is when this process learnt that no group holds the instance;
	// zero for members.
	UnplacedAt time.Time
	// IdleAfter is the moment that a probe must follow for an idle report to
	// free the instance: later than its release and than the time-to-live of
	// evidence after its last group was withdrawn.
	IdleAfter time.Time
}

// leaving tells whether the instance must get no new work.
func (v *InstanceView) leaving() bool {
	return (v.Listed && v.Entry.State == fleet.InstanceLeaving) ||
		(v.Fresh && v.Report.State == fleet.EngineLeaving)
}

// free tells whether the instance may enter any group.
func (v *InstanceView) free() bool {
	return v.Listed && !v.leaving() && v.Fresh && v.Report.Free() && v.ObservedAt.After(v.IdleAfter)
}

// Input is the observed state that a plan rests on.
type Input struct {
	FabricDomain string
	// Groups are the configured groups of the domain.
	Groups []fleet.Group
	// Services maps names to the configured services.
	Services map[string]fleet.Service
	Current  fleet.Placement
	// Instances holds every instance of the domain and every placed member.
	Instances map[string]InstanceView
	// GroupAge maps generations to the time since the generation got its phase.
	GroupAge map[fleet.Generation]time.Duration
	// LoadsAllowed is the number of weight loads that may start now. A group is
	// formed while it is positive, even if the group needs more.
	LoadsAllowed int
	Limits       Limits
	Now          time.Time
}

// Result is the outcome of a plan.
type Result struct {
	// Next is the new placement; it equals the current one unless Changed.
	Next    fleet.Placement
	Changed bool
	// Loads is the number of weight loads that the change starts.
	Loads int
	// Reasons explain the changes, for the log.
	Reasons []string
}
