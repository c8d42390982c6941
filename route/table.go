package route

import (
	"encoding/json"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Target is a group or a plain server that may receive new work before Expires.
type Target struct {
	// Name is the group's name, or the instance of a plain server.
	Name string `json:"name"`
	// Generation is the group's generation; 0 for a plain server.
	Generation fleet.Generation `json:"generation"`
	// Version is the model version that the group runs; empty for a plain server.
	Version string `json:"version,omitempty"`
	// Address is the "IP:port" of the group's rank 0, or of the plain server.
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// ReportedLoad is the number of queued prompt tokens plus a fraction of the
	// KV cache in use, in tokens, for a group; the number of running requests
	// for a plain server.
	ReportedLoad float64 `json:"reported"`
	// Observed is the time of the oldest evidence that the target depends on.
	Observed time.Time `json:"observed"`
	// Expires is the earliest expiry of that evidence.
	Expires time.Time `json:"expires"`
	// Tracker counts the work that this node sent.
	Tracker *Tracker `json:"-"`

	// sentAtReport is the tracker's count when the load was reported.
	sentAtReport int64
	// hash is the hash of Name, for affinity.
	hash uint64
	// freeKVTokens is the reported free space in the KV cache, in tokens.
	freeKVTokens float64
	// slowness is the factor by which the load is multiplied: 1 for normal
	// targets, more for stragglers.
	slowness float64
}

// Fresh reports whether the evidence has not expired at now.
func (t *Target) Fresh(now time.Time) bool { return now.Before(t.Expires) }

// SentSinceReport returns the tokens (or requests to a plain server) that this
// node sent since the load was reported.
func (t *Target) SentSinceReport() float64 { return float64(max(t.Tracker.Sent()-t.sentAtReport, 0)) }

// Load returns the reported load plus the work that this node sent since,
// multiplied by the target's slowness. One is added so that an idle straggler
// still has a higher load than an idle normal target.
func (t *Target) Load() float64 {
	return (t.ReportedLoad + t.SentSinceReport() + 1) * max(t.slowness, 1)
}

// MarshalJSON encodes the fields and this node's own measurements.
func (t *Target) MarshalJSON() ([]byte, error) {
	type fields Target
	return json.Marshal(struct {
		*fields
		Own               float64 `json:"own"`
		Load              float64 `json:"load"`
		FirstTokenSeconds float64 `json:"firstTokenSeconds"`
	}{(*fields)(t), t.SentSinceReport(), t.Load(), t.Tracker.FirstTokenSeconds()})
}

// Service lists the targets of one service.
type Service struct {
	Kind    fleet.Kind `json:"kind"`
	Targets []*Target  `json:"targets"`
	// WithoutEvidence lists the placed groups with a member whose newest report
	// doesn't show it ready in its role or is missing, and the live instances of
	// a plain service without evidence. A node without fresh targets may probe
	// them itself.
	WithoutEvidence []string `json:"unproven,omitempty"`
}

// Table is an immutable snapshot of all routes.
type Table struct {
	Services map[string]*Service `json:"services"`
	// completeUntil holds the expiry of the evidence for every placed group whose
	// members are all ready in their roles. It includes withdrawn groups, for
	// streams in progress.
	completeUntil map[groupKey]time.Time
}

// groupKey identifies one generation of a group.
type groupKey struct {
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

// Alive reports whether there is fresh evidence that every member of the group
// is ready in its role. It may be true for a withdrawn group, which still
// finishes its requests.
func (t *Table) Alive(group string, generation fleet.Generation, now time.Time) bool {
	if t == nil {
		return false
	}
	return now.Before(t.completeUntil[groupKey{group, generation}])
}

// Fresh returns the targets whose evidence has not expired at now, except those
// in tried.
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
