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
)

// Status is the answer of GET /v1/status: what this node knows.
type Status struct {
	Node         string             `json:"node"`
	State        fleet.NodeState    `json:"state,omitempty"`
	Revision     fleet.Revision     `json:"revision"`
	Confirmation ConfirmationStatus `json:"confirmation"`
	Members      []MemberStatus     `json:"members"`
	Groups       []GroupStatus      `json:"groups"`
	// Shards are the control shards that this node holds.
	Shards []string `json:"shards"`
}

// ConfirmationStatus tells whether the node may serve.
type ConfirmationStatus struct {
	// Serving tells that the node takes new work now.
	Serving bool `json:"serving"`
	// AgeMs is the age of the newest confirmation in milliseconds; -1 means
	// that there was none.
	AgeMs          int64 `json:"ageMs"`
	Majority       bool  `json:"majority"`
	PlatformBehind bool  `json:"platformBehind"`
}

// MemberStatus is a member as this node sees it.
type MemberStatus struct {
	Node          string          `json:"node"`
	FailureDomain string          `json:"failureDomain"`
	CallerAddress string          `json:"callerAddress"`
	State         fleet.NodeState `json:"state"`
	// SilentMs is the time since the newest heartbeat, in milliseconds.
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
	// Size is the configured size; 0 means that the group was withdrawn.
	Size int `json:"size"`
	// Ready counts members with a fresh report that shows their role.
	Ready int `json:"ready"`
	// Healthy tells that the group can take new work.
	Healthy bool `json:"healthy"`
}

// History is the answer of GET /v1/history.
type History struct {
	Revision fleet.Revision `json:"revision"`
	// Notes are oldest first.
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
			if now.Before(held.ValidUntil) {
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
		silent := now.Sub(member.HeartbeatAt).Milliseconds()
		if member.Node == m.Self {
			silent = 0
		}
		list = append(list, MemberStatus{
			Node:          member.Node,
			FailureDomain: member.FailureDomain,
			CallerAddress: member.CallerAddress,
			State:         member.State,
			SilentMs:      silent,
		})
	}
	return list
}

// groupStatus lists configured groups and groups that are placed but no longer
// configured, by name. A group that moves between fabric domains stands twice.
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
	answer := History{Notes: []fleet.NoteRecord{}}
	if configuration := h.cfg.Board.Configuration.Load(); configuration != nil {
		answer.Revision = configuration.Revision
		answer.Notes = append(answer.Notes, configuration.Notes...)
	}
	c.JSON(http.StatusOK, answer)
}
