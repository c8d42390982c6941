package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/replica"
	"github.com/rattanlanding/rattanlanding/route"
)

// admitter adapts the limiter to gateway.Limiter.
type admitter struct{ limiter *limit.Limiter }

// Admit implements gateway.Limiter.
func (a admitter) Admit(ctx context.Context, organisation, service string, tokens, priority int) (gateway.Admission, error) {
	return a.limiter.Admit(ctx, organisation, service, tokens, priority)
}

// waitSource adapts the routing table to limit.WaitSource.
type waitSource struct{ builder *route.Builder }

// EstimatedWait implements limit.WaitSource.
func (w waitSource) EstimatedWait(service string) (time.Duration, bool) {
	return w.builder.Table.Load().EstimatedWait(service)
}

// documentPublisher publishes documents that this process wrote to the replica.
// It implements release.Publisher and placement.Publisher.
type documentPublisher struct {
	documents *replica.Documents
	logger    log.Logger
}

// Publish implements release.Publisher and placement.Publisher.
func (p documentPublisher) Publish(name string, version uint64, body []byte) {
	if _, err := p.documents.Publish(name, version, body); err != nil {
		_ = level.Error(p.logger).Log("msg", "replica refused a document of this node", "document", name, "version", version, "err", err)
	}
}

// refresher adapts the prober to gateway.Refresher.
type refresher struct {
	board  *blackboard.Board
	prober *health.Prober
}

// Refresh implements gateway.Refresher.
func (r refresher) Refresh(ctx context.Context, target string) {
	group := r.findGroup(target)
	if group == nil {
		return
	}
	// The error is ignored, because a failed probe leaves no evidence, which the
	// gateway checks.
	_ = r.prober.Refresh(ctx, group)
}

// findGroup returns the placed group with the given name, or the plain server
// with that instance ID as a group of one member, or nil.
func (r refresher) findGroup(target string) *fleet.PlacedGroup {
	if placements := r.board.Placements.Load(); placements != nil {
		for _, placement := range placements.ByDomain {
			if group := placement.Placement.Group(target); group != nil {
				return group
			}
		}
	}
	list := r.board.Instances.Load()
	if list == nil {
		return nil
	}
	instance := list.Instance(target)
	if instance == nil {
		return nil
	}
	return &fleet.PlacedGroup{
		Name:    target,
		Members: []fleet.GroupMember{{Instance: instance.ID, Address: instance.Address}},
	}
}

// statusSource probes engines and plain servers, which have different status
// paths. It implements health.StatusSource and gateway.StatusSource.
type statusSource struct {
	board   *blackboard.Board
	engines *backend.EngineClient
	servers *backend.PlainClient
	index   atomic.Pointer[plainIndex]
}

// plainIndex holds the addresses of the plain servers for one pair of snapshots.
type plainIndex struct {
	configuration *fleet.Configuration
	instances     *fleet.InstanceList
	// plain is true for the addresses of plain servers.
	plain map[string]bool
}

// Status implements health.StatusSource.
func (s *statusSource) Status(ctx context.Context, address string) (fleet.Report, error) {
	if s.isPlain(address) {
		return s.servers.Status(ctx, address)
	}
	return s.engines.Status(ctx, address)
}

// isPlain reports whether address belongs to a server of a plain service.
func (s *statusSource) isPlain(address string) bool {
	configuration := s.board.Configuration.Load()
	instances := s.board.Instances.Load()
	if configuration == nil || instances == nil {
		return false
	}
	index := s.index.Load()
	if index == nil || index.configuration != configuration || index.instances != instances {
		index = buildPlainIndex(configuration, instances)
		s.index.Store(index)
	}
	return index.plain[address]
}

// buildPlainIndex collects the addresses of the instances in the pools of plain
// services.
func buildPlainIndex(configuration *fleet.Configuration, instances *fleet.InstanceList) *plainIndex {
	pools := make(map[string]bool)
	for i := range configuration.Services {
		if configuration.Services[i].Kind == fleet.KindPlain {
			pools[configuration.Services[i].Pool] = true
		}
	}
	index := &plainIndex{configuration: configuration, instances: instances, plain: make(map[string]bool)}
	for i := range instances.Instances {
		if pools[instances.Instances[i].Pool] {
			index.plain[instances.Instances[i].Address] = true
		}
	}
	return index
}
