package route

import (
	"encoding/json"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Target is a group or a plain server that may receive new work until Expires.
type Target struct {
	// Name is the group's name, or the instance of a plain server.
	Name string `json:"name"`
	// Generation is that of the group; 0 for a plain server.
	Generation fleet.Generation `json:"generation"`
	// Version is the model version that the group runs; empty for a plain server.
	Version string `json:"version,omitempty"`
	// Address is that of the group's rank 0, or of the plain server.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Reported is the reported load: queued prompt tokens and a share of the
	// output space in use for a group, running requests for a plain server.
	Reported float64 `json:"reported"`
	// Observed is the time of the oldest evidence that the target depends on.
	Observed time.Time `json:"observed"`
	// Expires is the earliest expiry of that evidence.
	Expires time.Time `json:"expires"`
	// Tracker counts what this node sent.
	Tracker *Tracker `json:"-"`

	// base is the tracker's count when the load was reported.
	base int64
	seed uint64
	// space is the reported free output space, in tokens.
	space float64
	// slowness is 1 for normal targets and higher for stragglers.
	slowness float64
}

// Fresh reports whether the evidence still holds at now.
func (t *Target) Fresh(now time.Time) bool { return now.Before(t.Expires) }

// Own returns what this node sent since the load was reported.
func (t *Target) Own() float64 { return float64(max(t.Tracker.Sent()-t.base, 0)) }

// Load returns the reported load plus what this node sent since, weighted by
// the target's slowness. One is added so that an idle straggler still ranks
// behind an idle normal target.
func (t *Target) Load() float64 { return (t.Reported + t.Own() + 1) * max(t.slowness, 1) }

// MarshalJSON adds to the fields what this node measured itself.
func (t *Target) MarshalJSON() ([]byte, error) {
	type fields Target
	return json.Marshal(struct {
		*fields
		Own               float64 `json:"own"`
		Load              float64 `json:"load"`
		FirstTokenSeconds float64 `json:"firstTokenSeconds"`
	}{(*fields)(t), t.Own(), t.Load(), t.Tracker.Latency()})
}

// Service lists the targets of one service.
type Service struct {
	Kind    fleet.Kind `json:"kind"`
	Targets []*Target  `json:"targets"`
	// Unproven names placed groups that have members without evidence, and live
	// instances of a plain service without evidence.
	// A node that has nothing fresher may probe them itself.
	Unproven []string `json:"unproven,omitempty"`
}

// Table is an immutable snapshot of all routes.
type Table struct {
	Services map[string]*Service `json:"services"`
	// proven holds every placed group, withdrawn ones too, whose members all
	// filled their ranks, for streams in progress.
	proven map[placed]time.Time
}

type placed struct {
	name       string
	generation fleet.Generation
}

// Service returns the targets of a service, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.Services[name]
}

// Alive reports whether fresh evidence shows every member of the group in its
// role. It holds for withdrawn groups too, which finish what they run.
func (t *Table) Alive(group string, generation fleet.Generation, now time.Time) bool {
	if t == nil {
		return false
	}
	return now.Before(t.proven[placed{group, generation}])
}

// Fresh returns the targets whose evidence holds at now, without those in tried.
func (s *Service) Fresh(now time.Time, tried []string) []*Target {
	if s == nil {
		return nil
	}
	fresh := make([]*Target, 0, len(s.Targets))
next:
	for _, t := range s.Targets {
		if !t.Fresh(now) {
			continue
		}
		for _, name := range tried {
			if name == t.Name {
				continue next
			}
		}
		fresh = append(fresh, t)
	}
	return fresh
}
