package entry

import (
	"context"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// World is the platform's documents in the project's types. It derives them from
// the copies that the followers keep.
type World struct {
	Configuration blackboard.Section[catalog.Configuration]
	Roster        blackboard.Section[engine.Roster]

	configurations *follow.Follower
	instances      *follow.Follower
	tables         *forward.Tables
	pool           *upstream.Pool
	logger         log.Logger

	decoded map[string]decodedInstance
}

// decodedInstance is an entry of the list; instance is nil if it is unreadable.
type decodedInstance struct {
	version  object.Version
	instance *engine.Instance
}

// Run follows both documents until ctx ends.
func (w *World) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		configurations, instances := w.configurations.Current.Changed(), w.instances.Current.Changed()
		w.update()
		select {
		case <-ctx.Done():
		case <-configurations:
		case <-instances:
		}
	}
	return nil
}

// update publishes what changed.
func (w *World) update() {
	w.updateConfiguration()
	if s := w.instances.Current.Load(); s != nil {
		w.Roster.Publish(engine.NewRoster(w.decode(s)))
	}
	c, r := w.Configuration.Load(), w.Roster.Load()
	if c == nil || r == nil {
		return
	}
	w.tables.Build(c, r)
	listed := make(map[string]bool, len(r.ByID))
	for _, in := range r.ByID {
		listed[in.Address] = true
	}
	w.pool.Retain(func(address string) bool { return listed[address] })
}

// updateConfiguration publishes a newer version; versions never go back within
// one process.
func (w *World) updateConfiguration() {
	s := w.configurations.Current.Load()
	if s == nil {
		return
	}
	for _, o := range s.Objects {
		if o.Key.Name != platform.ConfigurationName {
			continue
		}
		next, err := platform.DecodeConfiguration(o.Value)
		if err != nil {
			_ = level.Error(w.logger).Log("msg", "configuration not readable, the old one stays", "revision", o.Version, "err", err)
			return
		}
		if old := w.Configuration.Load(); old != nil && old.Version >= next.Version {
			return
		}
		_ = level.Info(w.logger).Log("msg", "configuration taken", "version", next.Version, "revision", o.Version,
			"routes", len(next.Routes), "services", len(next.Services), "organisations", len(next.Organisations))
		w.Configuration.Publish(next)
	}
}

// decode returns the readable entries of the list. Unchanged ones are decoded
// only once.
func (w *World) decode(s *follow.Snapshot) []*engine.Instance {
	next := make(map[string]decodedInstance, len(s.Objects))
	var instances []*engine.Instance
	for _, o := range s.Objects {
		d, known := w.decoded[o.Key.Name]
		if !known || d.version != o.Version {
			d = w.decodeOne(o)
		}
		next[o.Key.Name] = d
		if d.instance != nil {
			instances = append(instances, d.instance)
		}
	}
	w.decoded = next
	return instances
}

func (w *World) decodeOne(o object.Object) decodedInstance {
	in, err := platform.DecodeInstance(o.Key.Name, o.Value)
	if err != nil {
		_ = level.Warn(w.logger).Log("msg", "entry of the instance list not readable", "err", err)
		return decodedInstance{version: o.Version}
	}
	return decodedInstance{version: o.Version, instance: in}
}
