package operator

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/suspend"
)

// Status is the response to GET /v1/status: the state of the system as this node
// sees it.
type Status struct {
	Node  string          `json:"node"`
	State fleet.NodeState `json:"state,omitempty"`
	// Revision is the revision of this node's configuration.
	Revision     fleet.Revision     `json:"revision"`
	Confirmation ConfirmationStatus `json:"confirmation"`
	Members      []MemberStatus     `json:"members"`
	Groups       []GroupStatus      `json:"groups"`
	// Shards are the control shards that this node holds.
	Shards []string `json:"shards"`
}

// ConfirmationStatus shows whether the node may serve.
type ConfirmationStatus struct {
	// Serving is true if the node takes new work now.
	Serving bool `json:"serving"`
	// AgeMs is the age of the newest confirmation in milliseconds; -1 means that
	// there was none.
	AgeMs int64 `json:"ageMs"`
	// Majority is true if the node recently had contact with a majority of the
	// members.
	Majority bool `json:"majority"`
	// PlatformBehind is true if the platform returned an older revision than
	// this node has.
	PlatformBehind bool `json:"platformBehind"`
}

// MemberStatus is a member as this node sees it.
type MemberStatus struct {
	Node          string          `json:"node"`
	FailureDomain string          `json:"failureDomain"`
	CallerAddress string          `json:"callerAddress"`
	State         fleet.NodeState `json:"state"`
	// SilentMs is the time since the newest heartbeat, in milliseconds; 0 for
	// this node.
	SilentMs int64 `json:"silentMs"`
}

// GroupStatus is the state of a group that is configured or placed.
type GroupStatus struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	FabricDomain string `json:"fabricDomain"`
	// Phase is empty for a group that is not placed.
	Phase      fleet.Phase      `json:"phase,omitempty"`
	Generation fleet.Generation `json:"generation,omitempty"`
	// Size is the configured number of members; 0 means that the group is no
	// longer configured.
	Size int `json:"size"`
	// Ready is the number of members with fresh evidence that they are ready in
	// their roles.
	Ready int `json:"ready"`
	// Healthy is true if the group is serving and all members are ready.
	Healthy bool `json:"healthy"`
}

// History is the response to GET /v1/history.
type History struct {
	Revision fleet.Revision `json:"revision"`
	// Notes are the accepted notes, oldest first.
	Notes []fleet.NoteRecord `json:"notes"`
}

func (h *handler) status(c *gin.Context) {
	c.JSON(http.StatusOK, h.buildStatus(h.cfg.Now()))
}

func (h *handler) buildStatus(now time.Time) Status {
	board := h.cfg.Board
	s := Status{
		Node:         h.cfg.Node,
		Confirmation: confirmationStatus(board.Confirmation.Load(), now),
		Members:      memberStatus(board.Members.Load(), now),
		Groups:       h.groupStatus(now),
		Shards:       []string{},
	}
	if l := board.Lifecycle.Load(); l != nil {
		s.State = l.State
	}
	if configuration := board.Configuration.Load(); configuration != nil {
		s.Revision = configuration.Revision
	}
	if shards := board.Shards.Load(); shards != nil {
		for name, held := range shards.Held {
			if held.ValidFor(now, suspend.Total()) > 0 {
				s.Shards = append(s.Shards, name)
			}
		}
		slices.Sort(s.Shards)
	}
	return s
}

func confirmationStatus(c *blackboard.Confirmation, now time.Time) ConfirmationStatus {
	if c == nil {
		return ConfirmationStatus{AgeMs: -1}
	}
	status := ConfirmationStatus{
		Serving:        now.Before(c.ServeUntil),
		AgeMs:          -1,
		Majority:       c.Majority,
		PlatformBehind: c.PlatformBehind,
	}
	if !c.ConfirmedAt.IsZero() {
		status.AgeMs = now.Sub(c.ConfirmedAt).Milliseconds()
	}
	return status
}

func memberStatus(m *blackboard.Members, now time.Time) []MemberStatus {
	list := []MemberStatus{}
	if m == nil {
		return list
	}
	for _, member := range m.All {
		sinceHeartbeat := now.Sub(member.HeartbeatAt).Milliseconds()
		if member.Node == m.Self {
			sinceHeartbeat = 0
		}
		list = append(list, MemberStatus{
			Node:          member.Node,
			FailureDomain: member.FailureDomain,
			CallerAddress: member.CallerAddress,
			State:         member.State,
			SilentMs:      sinceHeartbeat,
		})
	}
	return list
}

// groupStatus lists the configured groups and the groups that are placed but no
// longer configured, sorted by name. A group that moves between fabric domains is
// listed twice.
func (h *handler) groupStatus(now time.Time) []GroupStatus {
	type groupKey struct{ domain, name string }
	byKey := make(map[groupKey]GroupStatus)
	if configuration := h.cfg.Board.Configuration.Load(); configuration != nil {
		for _, g := range configuration.Groups {
			byKey[groupKey{g.FabricDomain, g.Name}] = GroupStatus{
				Name: g.Name, Service: g.Service, FabricDomain: g.FabricDomain, Size: g.Size,
			}
		}
	}
	if placements := h.cfg.Board.Placements.Load(); placements != nil {
		evidence := h.cfg.Board.Evidence.Load()
		for domain, versioned := range placements.ByDomain {
			for i := range versioned.Placement.Groups {
				g := &versioned.Placement.Groups[i]
				status := byKey[groupKey{domain, g.Name}]
				status.Name, status.Service, status.FabricDomain = g.Name, g.Service, domain
				status.Phase, status.Generation = g.Phase, g.Generation
				status.Ready = h.readyMembers(g, evidence, now)
				status.Healthy = g.Phase == fleet.PhaseServing && len(g.Members) > 0 && status.Ready == len(g.Members)
				byKey[groupKey{domain, g.Name}] = status
			}
		}
	}
	groups := slices.AppendSeq([]GroupStatus{}, maps.Values(byKey))
	slices.SortFunc(groups, func(a, b GroupStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.FabricDomain, b.FabricDomain))
	})
	return groups
}

// readyMembers returns the number of members with fresh evidence that they are
// ready in their roles.
func (h *handler) readyMembers(g *fleet.PlacedGroup, evidence *blackboard.Evidence, now time.Time) int {
	if evidence == nil {
		return 0
	}
	ready := 0
	for rank, member := range g.Members {
		observation, known := evidence.ByInstance[member.Instance]
		if known && now.Sub(observation.ObservedAt) < h.cfg.EvidenceLifetime && observation.Report.Fills(g, rank) {
			ready++
		}
	}
	return ready
}

func (h *handler) history(c *gin.Context) {
	response := History{Notes: []fleet.NoteRecord{}}
	if configuration := h.cfg.Board.Configuration.Load(); configuration != nil {
		response.Revision = configuration.Revision
		response.Notes = append(response.Notes, configuration.Notes...)
	}
	c.JSON(http.StatusOK, response)
}
