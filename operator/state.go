package operator

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// shownHash is the length of a key hash in a dump, in characters.
const shownHash = 8

// State is the answer of GET /debug/state.
type State struct {
	Node       string         `json:"node"`
	At         time.Time      `json:"at"`
	Blackboard BoardState     `json:"blackboard"`
	Extra      map[string]any `json:"extra"`
}

// BoardState holds every section of the blackboard; a section that was never
// published is null.
type BoardState struct {
	Configuration *fleet.Configuration     `json:"configuration"`
	Placements    *blackboard.Placements   `json:"placements"`
	Instances     *fleet.InstanceList      `json:"instances"`
	Confirmation  *blackboard.Confirmation `json:"confirmation"`
	Members       *blackboard.Members      `json:"members"`
	Evidence      *blackboard.Evidence     `json:"evidence"`
	Demand        *blackboard.Demand       `json:"demand"`
	Shards        *blackboard.Shards       `json:"shards"`
	Lifecycle     *blackboard.Lifecycle    `json:"lifecycle"`
}

func (h *handler) state(c *gin.Context) {
	board := h.cfg.Board
	state := State{
		Node: h.cfg.Node,
		At:   h.cfg.Now(),
		Blackboard: BoardState{
			Configuration: redacted(board.Configuration.Load()),
			Placements:    board.Placements.Load(),
			Instances:     board.Instances.Load(),
			Confirmation:  board.Confirmation.Load(),
			Members:       board.Members.Load(),
			Evidence:      board.Evidence.Load(),
			Demand:        board.Demand.Load(),
			Shards:        board.Shards.Load(),
			Lifecycle:     board.Lifecycle.Load(),
		},
		Extra: make(map[string]any, len(h.cfg.Dumpers)),
	}
	for name, dump := range h.cfg.Dumpers {
		state.Extra[name] = dump()
	}
	c.JSON(http.StatusOK, state)
}

// redacted returns a copy with the key hashes cut to shownHash characters, which
// tell keys apart but can't be used to test a guessed key.
func redacted(c *fleet.Configuration) *fleet.Configuration {
	if c == nil {
		return nil
	}
	shown := *c
	shown.Organisations = slices.Clone(c.Organisations)
	for i := range shown.Organisations {
		o := &shown.Organisations[i]
		o.KeyHashes = slices.Clone(o.KeyHashes)
		for k, hash := range o.KeyHashes {
			o.KeyHashes[k] = hash[:min(len(hash), shownHash)]
		}
	}
	return &shown
}

func (h *handler) metrics(c *gin.Context) {
	if strings.Contains(c.GetHeader("Accept"), "text/plain") {
		c.Data(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", Exposition(h.cfg.Registry))
		return
	}
	c.JSON(http.StatusOK, h.cfg.Registry.GetAll())
}
