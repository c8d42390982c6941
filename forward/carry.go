package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// carryBuffer is the size in bytes of the buffer in which a response is carried.
const carryBuffer = 4 << 10

// carryGrace is how long a backend server may exceed the time that it was given before a carried
// request ends.
const carryGrace = time.Second

// IsDetour reports whether a request of another node is to be carried to a backend server.
func IsDetour(r *http.Request) bool { return r.Header.Get(headerDetour) != "" }

// ServeDetour carries a request of another node to a backend server and streams the response
// back. It is sent at most once, and not if this node would need a detour itself.
func (h *Handler) ServeDetour(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerDetour, r.Header.Get(headerDetour))
	target := h.Dispatcher.tables.Load().Target(r.Header.Get(headerDetour))
	if target == nil {
		h.refuseDetour(w, r, incapable, errors.New("the instance is no target of this node"))
		return
	}
	if check := r.Header.Get(headerDetourCheck); check != "" {
		h.serveCheck(w, r, target, check)
		return
	}
	if pause := h.Dispatcher.throttle.Pause(target.Server); pause > 0 {
		w.Header().Set(headerDetourPause, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
		h.refuseDetour(w, r, unwanted, errors.New("the instance is leaving, or asked this node for a pause"))
		return
	}
	if !h.Memory.BeginRequest() {
		h.refuseDetour(w, r, incapable, errors.New("no memory"))
		return
	}
	defer h.Memory.EndRequest()
	c := &call{Meta: h.Codec.DecodeRequest(r.Header), request: r, writer: w, started: time.Now()}
	defer c.releaseBody()
	if err := h.admitDetour(c, target); err != nil {
		h.refuseDetour(w, r, incapable, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(h.ending, cancel)()
	h.carry(ctx, c, target)
}

// admitDetour reads a request of another node. While this node stops, it takes only what it can
// end in time.
func (h *Handler) admitDetour(c *call, target *Target) *verdict.Error {
	configuration := h.Configuration.Load()
	if configuration == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed, "no configuration received yet")
	}
	c.service = configuration.Service(target.Pool.Service)
	c.route = configuration.Route(c.request.Host, c.request.URL.EscapedPath())
	if c.service == nil || c.route == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no service or route for the request")
	}
	c.callerDeadline = c.started.Add(defaultTimeout)
	if c.HasTimeout {
		c.callerDeadline = c.started.Add(c.Timeout + carryGrace)
	}
	c.deadline = c.callerDeadline
	if _, err := h.latestStart(c); err != nil {
		return err
	}
	return h.readBody(c, configuration.Limits.MaxBodyBytes)
}

// carry sends the request to the target and writes the response. If the response is lost or
// incomplete, it aborts the connection of the other node.
func (h *Handler) carry(ctx context.Context, c *call, target *Target) {
	address := target.Instance.Address
	if h.route(address).Detour {
		h.refuseDetour(c.writer, c.request, cutOff, errors.New("this node has lost its link to the instance, too"))
		return
	}
	fresh := c.request.Header.Get(headerDetourFresh) != ""
	conn, err := h.Connections.Get(ctx, address, fresh, h.connectionLimit(c.service))
	if err != nil {
		reason := cutOff
		switch {
		case errors.Is(err, upstream.ErrNoConnection):
			reason = incapable
		case h.Detours != nil && h.Detours.Links.InTouch():
			reason = unreachable
		}
		h.refuseDetour(c.writer, c.request, reason, err)
		return
	}
	h.metrics.carried.Inc(1)
	header := upstream.EndToEnd(c.request.Header)
	stripDetour(header)
	sentAt := time.Now()
	response, err := conn.Do(ctx, &upstream.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header,
		Body: c.body.Parts(), Retain: c.body.Retain, Memory: h.oversized,
		IsOwn: func(status int, header http.Header) bool {
			return h.Codec.DecodeResponse(status, header).RequestID == c.ID
		},
	})
	if err != nil {
		h.abortDetour(c, target, err)
	}
	meta := h.Codec.DecodeResponse(response.Status, response.Header)
	if meta.Server == "" || meta.Server == target.Instance.ID {
		h.Dispatcher.ObserveResponse(target.Instance, meta.Statement, sentAt)
	}
	if err := h.writeCarried(c, response); err != nil {
		response.Abort()
		h.abortDetour(c, target, err)
	}
	if response.EndsWithConnection() && h.isDown(checkRefused, target.Instance) {
		h.abortDetour(c, target, io.ErrUnexpectedEOF)
	}
}

// writeCarried writes a response as it arrives.
func (h *Handler) writeCarried(c *call, response *upstream.Response) error {
	to := c.writer.Header()
	copyHeader(to, response.Header)
	stripDetour(to)
	to.Set(headerDetour, c.request.Header.Get(headerDetour))
	// net/http would add these.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, present := to[name]; !present {
			to[name] = nil
		}
	}
	if response.Length >= 0 {
		to.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	if response.Early {
		to.Set(headerDetourEarly, "1")
	}
	c.writer.WriteHeader(response.Status)
	control := http.NewResponseController(c.writer)
	buffer := make([]byte, carryBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.writer.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
	}
}

// abortDetour ends a carried request whose response is lost or incomplete.
func (h *Handler) abortDetour(c *call, target *Target, err error) {
	_ = level.Info(h.Logger).Log("msg", "response to a request of another node lost", "request", c.ID, "instance", target.Instance.ID, "err", err)
	panic(http.ErrAbortHandler)
}

// refuseDetour states that a request of another node was not sent.
func (h *Handler) refuseDetour(w http.ResponseWriter, r *http.Request, reason detourRefusal, err error) {
	_ = level.Info(h.Logger).Log("msg", "request of another node not carried", "instance", r.Header.Get(headerDetour), "reason", string(reason), "err", err)
	w.Header().Set(headerDetourRefusal, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveCheck answers whether an instance is down for this node.
func (h *Handler) serveCheck(w http.ResponseWriter, r *http.Request, target *Target, check string) {
	down, err := h.checkDown(r.Context(), check, target.Instance.Address)
	switch {
	case err != nil:
		h.refuseDetour(w, r, incapable, err)
	case down && h.Detours != nil && h.Detours.Links.InTouch():
		h.refuseDetour(w, r, unreachable, nil)
	case down:
		h.refuseDetour(w, r, cutOff, errors.New("this node may have lost its links"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
