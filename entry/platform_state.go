package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/throttle"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// PlatformState holds the platform's documents, decoded into the project's types. It
// updates them from the copies that the followers keep.
type PlatformState struct {
	Configuration blackboard.Section[catalog.Configuration]
	Roster        blackboard.Section[engine.Roster]

	configurations *follow.Follower
	instances      *follow.Follower
	tables         *forward.Tables
	pool           *upstream.Pool
	throttle       *throttle.Registry
	// evacuations is nil if there are none in the deployment.
	evacuations *evacuationState
	// limitsCold is true if the requests to cold servers are limited.
	limitsCold bool
	logger     log.Logger

	// applying is held while a configuration is compared and published.
	applying sync.Mutex
	// inForce is the document of Configuration.
	inForce atomic.Pointer[configurationDocument]
	// adopted receives a value when another node's configuration was adopted.
	adopted chan struct{}

	// history merges the versions of the instance list.
	history *engine.History
	// decoded maps instance IDs to the entries of the last update.
	decoded map[string]decodedInstance
	// tried is the version of the last configuration of the store that was applied or
	// refused.
	tried object.Version
}

// invalidEntryLogInterval is the time between two log lines about invalid entries of the
// same instance, which another writer may keep changing.
const invalidEntryLogInterval = 10 * time.Second

// configurationDocument is a configuration as stored, for nodes that lack it.
type configurationDocument struct {
	Version uint64
	Value   []byte
}

// decodedInstance is a decoded entry of the instance list.
type decodedInstance struct {
	version object.Version
	// instance is nil if the entry couldn't be decoded.
	instance *engine.Instance
	// loggedAt is when an invalid entry was last logged.
	loggedAt time.Time
}

// Run updates the state whenever a document changes, until ctx is cancelled.
func (ps *PlatformState) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		configurations, instances, stated := ps.configurations.Current.Changed(), ps.instances.Current.Changed(), ps.throttle.Changed()
		evacuations := ps.evacuations.changed()
		var again <-chan time.Time
		if at := ps.update(); !at.IsZero() {
			again = time.After(time.Until(at))
		}
		select {
		case <-ctx.Done():
		case <-configurations:
		case <-instances:
		case <-evacuations:
		case <-ps.adopted:
		case <-stated:
		case <-again:
		}
	}
	return nil
}

// update decodes and publishes both documents, rebuilds the routing tables, and closes
// connections to instances that are no longer listed. It must be called again at the
// returned time, unless that is zero.
func (ps *PlatformState) update() (again time.Time) {
	ps.updateConfiguration()
	now := time.Now()
	evacuations, known, evacuationsChange := ps.evacuations.update(now)
	if s := ps.instances.Current.Load(); s != nil && known {
		var merged []*engine.Instance
		ps.history.Confirm(now.Add(-ps.instances.TimeSinceContact()))
		merged, again = ps.history.Merge(s.Cursor.Era(), ps.decode(s), now)
		roster := engine.NewRoster(ps.markLeaving(merged))
		roster.Evacuations = evacuations
		ps.Roster.Publish(roster)
	}
	if again.IsZero() || (!evacuationsChange.IsZero() && evacuationsChange.Before(again)) {
		again = evacuationsChange
	}
	c, r := ps.Configuration.Load(), ps.Roster.Load()
	if c == nil || r == nil {
		return again
	}
	ps.tables.Build(c, r)
	listed := make(map[string]bool, len(r.ByID))
	servers := make(map[throttle.Server]string, len(r.ByID))
	for _, in := range r.ByID {
		listed[in.Address] = true
		servers[throttle.ServerOf(in.ID, in.StartedMs)] = in.ID
	}
	ps.throttle.SetListed(servers)
	if ps.limitsCold {
		ps.throttle.SetCold(ps.coldServers(c, r, now))
	}
	ps.pool.CloseIdle(func(address string) bool { return listed[address] })
	return again
}

// markLeaving returns the instances, those as leaving that have stated so in a response.
func (ps *PlatformState) markLeaving(instances []*engine.Instance) []*engine.Instance {
	for i, in := range instances {
		if !in.Leaving && ps.throttle.Leaving(throttle.ServerOf(in.ID, in.StartedMs)) {
			leaving := *in
			leaving.Leaving = true
			instances[i] = &leaving
		}
	}
	return instances
}

// updateConfiguration applies the configuration in the store's copy.
func (ps *PlatformState) updateConfiguration() {
	s := ps.configurations.Current.Load()
	if s == nil {
		return
	}
	for _, o := range s.Objects {
		if o.Key.Name == platform.ConfigurationName && o.Version != ps.tried {
			ps.tried = o.Version
			ps.apply(o.Value, "store", o.Version)
		}
	}
}

// Adopt applies the configuration of another node, if it is newer. A store that was restored
// from an older copy shows an older one until the operator's next change, while the
// confirmed one stays in force.
func (ps *PlatformState) Adopt(value []byte, from string) {
	ps.apply(value, from, 0)
	select {
	case ps.adopted <- struct{}{}:
	default:
	}
}

// apply decodes a configuration and publishes it if its version is newer. The version never
// decreases within one process.
func (ps *PlatformState) apply(value []byte, source string, revision object.Version) {
	next, err := platform.DecodeConfiguration(value)
	if err != nil {
		_ = level.Error(ps.logger).Log("msg", "invalid configuration, keeping the previous one", "source", source, "revision", revision.Revision(), "err", err)
		return
	}
	ps.applying.Lock()
	defer ps.applying.Unlock()
	if old := ps.Configuration.Load(); old != nil && old.Version >= next.Version {
		return
	}
	_ = level.Info(ps.logger).Log("msg", "configuration applied", "version", next.Version, "source", source, "era", revision.Era(), "revision", revision.Revision(),
		"routes", len(next.Routes), "services", len(next.Services), "organisations", len(next.Organisations))
	ps.inForce.Store(&configurationDocument{next.Version, value})
	ps.Configuration.Publish(next)
}

// decode returns the valid entries of the instance list. Unchanged entries aren't
// decoded again.
func (ps *PlatformState) decode(s *follow.Snapshot) []*engine.Instance {
	next := make(map[string]decodedInstance, len(s.Objects))
	var instances []*engine.Instance
	for _, o := range s.Objects {
		d, known := ps.decoded[o.Key.Name]
		if !known || d.version != o.Version {
			d = ps.decodeObject(o, d.loggedAt)
		}
		if in := d.instance; in != nil && ps.lacksModels(in) {
			d.loggedAt = ps.logInvalid(d.loggedAt, fmt.Errorf("instance %s: models: missing", in.ID))
		} else if in != nil {
			instances = append(instances, in)
		}
		next[o.Key.Name] = d
	}
	ps.decoded = next
	return instances
}

// decodeObject decodes an entry. An invalid one of the same instance was last logged at
// loggedAt.
func (ps *PlatformState) decodeObject(o object.Object, loggedAt time.Time) decodedInstance {
	in, err := platform.DecodeInstance(o.Key.Name, o.Value)
	if err != nil {
		loggedAt = ps.logInvalid(loggedAt, err)
	}
	if in != nil && in.ColdRemaining > 0 {
		in.ColdUntil = time.Now().Add(in.ColdRemaining)
	}
	return decodedInstance{version: o.Version, instance: in, loggedAt: loggedAt}
}

// logInvalid logs an invalid entry, if it wasn't logged recently, and returns when it was
// logged last.
func (ps *PlatformState) logInvalid(loggedAt time.Time, err error) time.Time {
	if time.Since(loggedAt) < invalidEntryLogInterval {
		return loggedAt
	}
	_ = level.Warn(ps.logger).Log("msg", "invalid entry of the instance list ignored", "err", err)
	return time.Now()
}

// lacksModels reports whether an entry of an engine doesn't say which models it has. It is of
// another writer: the engine may be in a group.
func (ps *PlatformState) lacksModels(in *engine.Instance) bool {
	c := ps.Configuration.Load()
	if c == nil || in.StatesModels {
		return false
	}
	service := c.Service(in.Service)
	return service != nil && service.Engine != nil
}
