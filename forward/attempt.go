package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// connectionHeadroom multiplies the number of nodes among which the connections of a
// backend server are divided, so that some remain unused.
const connectionHeadroom = 1.2

// noEnginePriority selects the engine's default priority.
const noEnginePriority = -1

// send sends the request once and reads the head of the response. The verdict of the
// error states whether the backend server may have run the request.
func (h *Handler) send(ctx context.Context, c *call, slot *Slot, lastEventID string, watch upstream.Watch) (*upstream.Response, *verdict.Error) {
	c.tried[slot.Instance.ID] = true
	c.sends++
	_ = level.Info(h.Logger).Log("msg", "sent", "request", c.ID, "route", c.route.Name, "send", c.sends,
		"instance", slot.Instance.ID, "group", slot.Group.Name, "own", slot.Own, "others", slot.Others,
		"slots", slot.Slots, "expected_ms", slot.estimate.firstEvent.Milliseconds(), "after_ms", time.Since(c.started).Milliseconds(), "last_event", lastEventID)
	fresh := c.route.Kind == catalog.Unsafe
	header := upstream.EndToEnd(c.request.Header)
	h.Codec.EncodeRequest(header, Attempt{
		Organisation: c.organisationName(),
		Instance:     slot.Instance.ID,
		Remaining:    h.remaining(c),
		LastEventID:  lastEventID,
		Priority:     slot.priority,
	})
	sentAt := time.Now()
	response, failed := h.exchange(ctx, c, slot, &upstream.Request{
		Method: c.request.Method, Target: c.target, Host: c.request.Host, Header: header, Body: c.body.Parts(), Retain: c.body.Retain,
		Watch: watch, Memory: h.oversized,
		IsOwn: func(status int, header http.Header) bool {
			return h.Codec.DecodeResponse(status, header).RequestID == c.ID
		},
	}, fresh)
	if failed != nil {
		if failed.Verdict == verdict.MayHaveRun {
			c.runs++
			c.mayHaveRun = true
		}
		return nil, failed
	}
	meta := h.Codec.DecodeResponse(response.Status, response.Header)
	if meta.Err != nil {
		_ = level.Warn(h.Logger).Log("msg", "invalid value in the statement of a backend server", "request", c.ID, "instance", slot.Instance.ID, "err", meta.Err)
	}
	if meta.Server == "" || meta.Server == slot.Instance.ID {
		h.Dispatcher.ObserveResponse(slot.Instance, meta.Statement, sentAt)
	}
	if meta.NotRun {
		response.Abort()
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "backend server answered %d without running the request", response.Status).WithCause(notRunStatus(response.Status))
	}
	c.runs++
	c.mayHaveRun = true
	return response, nil
}

// connectionLimit returns this node's share of the connections that a backend server
// accepts, or 0 for no limit. Nodes that have lost their links need no share, and the others
// carry their requests.
func (h *Handler) connectionLimit(s *catalog.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	nodes := h.Peers.Nodes()
	if h.Detours != nil {
		nodes -= h.Detours.Stranded()
	}
	return max(int(float64(s.MaxConnections)/(connectionHeadroom*float64(max(nodes, 1)))), 1)
}

func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// pool returns the pool of targets that can run the request.
func (c *call) pool() Pool {
	if c.service.Engine == nil {
		return Pool{Service: c.service.Name}
	}
	return Pool{Service: c.service.Name, Model: c.Model}
}
