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

// shownHashLength is the length of a truncated key hash, in characters.
const shownHashLength = 8

// State is the response to GET /debug/state.
type State struct {
	Node string `json:"node"`
	// At is the time of the dump.
	At         time.Time  `json:"at"`
	Blackboard BoardState `json:"blackboard"`
	// Extra holds the results of Config.Dumpers.
	Extra map[string]any `json:"extra"`
}

// BoardState holds all sections of the blackboard. A section that has not been
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
			Configuration: redactKeyHashes(board.Configuration.Load()),
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

// redactKeyHashes returns a copy with the key hashes truncated to shownHashLength
// characters. That is enough to distinguish keys, but not to verify a guessed
// key.
func redactKeyHashes(c *fleet.Configuration) *fleet.Configuration {
	if c == nil {
		return nil
	}
	redacted := *c
	redacted.Organisations = slices.Clone(c.Organisations)
	for i := range redacted.Organisations {
		o := &redacted.Organisations[i]
		o.KeyHashes = slices.Clone(o.KeyHashes)
		for k, hash := range o.KeyHashes {
			o.KeyHashes[k] = hash[:min(len(hash), shownHashLength)]
		}
	}
	return &redacted
}

func (h *handler) metrics(c *gin.Context) {
	if strings.Contains(c.GetHeader("Accept"), "text/plain") {
		c.Data(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", Exposition(h.cfg.Registry))
		return
	}
	c.JSON(http.StatusOK, h.cfg.Registry.GetAll())
}
