package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/reach"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/throttle"
	"github.com/rattanlanding/rattanlanding/upstream"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Headers of requests that another node carries to a backend server, and of its responses.
const (
	// headerDetour is the ID of the instance to which a request is to be carried. Responses repeat
	// it; nodes of builds that carry nothing don't.
	headerDetour = "Rattanlanding-Detour"
	// headerDetourFresh is set if the request must be sent on a new connection.
	headerDetourFresh = "Rattanlanding-Detour-Fresh"
	// headerDetourCheck asks only whether the instance is down: checkRefused or checkSilent.
	headerDetourCheck = "Rattanlanding-Detour-Check"
	// headerDetourRefusal is the reason for which the request wasn't sent to the instance.
	headerDetourRefusal = "Rattanlanding-Detour-Refusal"
	// headerDetourPause is for how many seconds the instance wants no requests from the node that
	// refuses for that reason.
	headerDetourPause = "Rattanlanding-Detour-Pause"
	// headerDetourEarly is set if the response arrived before the request had been sent.
	headerDetourEarly = "Rattanlanding-Detour-Early"
)

// stripDetour removes the headers of carried requests and their responses, which callers and
// backend servers may have sent.
func stripDetour(header http.Header) {
	for _, name := range []string{headerDetour, headerDetourFresh, headerDetourCheck, headerDetourRefusal, headerDetourPause, headerDetourEarly} {
		header.Del(name)
	}
}

// detourRefusal is a reason for which a node doesn't carry a request.
type detourRefusal string

const (
	// unreachable means that the node has no connection to the instance either.
	unreachable detourRefusal = "unreachable"
	// unwanted means that the instance takes no requests from the node.
	unwanted detourRefusal = "unwanted"
	// cutOff means that the node has lost its links, too, or can't tell.
	cutOff detourRefusal = "cut off"
	// incapable means that the node can't carry the request for other reasons of its own.
	incapable detourRefusal = "incapable"
)

// Error implements error.
func (r detourRefusal) Error() string { return "not carried by the other node: " + string(r) }

// refusalOf returns the reason for which another node didn't carry a request; empty if it did.
func refusalOf(response http.Header) detourRefusal {
	if response.Get(headerDetour) == "" {
		return incapable
	}
	return detourRefusal(response.Get(headerDetourRefusal))
}

// errNoDetour is returned if no other node can carry a request.
var errNoDetour = errors.New("no other node can carry the request")

const (
	// maxDetours is the number of nodes that are asked to carry one attempt. Most nodes may be
	// stranded, and not all of them known to be.
	maxDetours = 4
	// probePause is the time between two rounds of direct connections of a stranded node.
	probePause = 250 * time.Millisecond
	// roundProbes is the number of addresses in one round, until one of them was reached.
	roundProbes = 4
)

// Detours are the ways to backend servers through other nodes. Such a node sends the request to
// the instance that this node has chosen, once, and streams the response back; it decides
// nothing else. Retries, budgets, stalls and evidence remain with this node.
type Detours struct {
	// Links is the state of the paths to backend servers.
	Links *reach.Ledger
	// Peers is the state of the paths to other nodes.
	Peers *reach.Ledger
	// Connections are the connections to other nodes.
	Connections *upstream.Pool
	// Nodes returns the peer addresses of the nodes that can carry requests, preferred ones
	// first.
	Nodes func() []string
	// Stranded returns the number of other nodes that have lost their links.
	Stranded func() int

	// lastCarrier is the node that last carried a request.
	lastCarrier atomic.Pointer[string]
}

// stranded reports whether this node has lost most of its links to backend servers.
func (d *Detours) stranded() bool { return d != nil && d.Links.Stranded() }

// route returns the way by which to send a request to an address, and tries a direct connection
// in the background if that is due.
func (h *Handler) route(address string) reach.Route {
	if h.Detours == nil {
		return reach.Route{}
	}
	route := h.Detours.Links.Route(address)
	if route.Probe {
		// The ledger gets the outcome.
		go func() { _ = h.Connections.Warm(context.Background(), address) }()
	}
	return route
}

// nodes returns the nodes to ask, at most maxDetours. The last one is that which has carried the
// previous request. If all nodes failed a short time ago, one of them is asked again. known is
// the number of nodes that claim to be able to.
func (d *Detours) nodes() (usable []string, known int) {
	all := d.Nodes()
	last := ""
	if p := d.lastCarrier.Load(); p != nil && slices.Contains(all, *p) && !d.Peers.Failing(*p) {
		last = *p
	}
	for _, address := range all {
		if len(usable) < maxDetours-1 && address != last && !d.Peers.Failing(address) {
			usable = append(usable, address)
		}
	}
	switch {
	case last != "":
		usable = append(usable, last)
	case len(usable) == 0 && len(all) > 0:
		usable = all[:1]
	}
	return usable, len(all)
}

// exchange sends a request to the target and reads the head of the response: directly, or
// through another node if the link has failed. The verdict of the error states whether the
// backend server may have run the request.
func (h *Handler) exchange(ctx context.Context, c *call, slot *Slot, r *upstream.Request, fresh bool) (*upstream.Response, *verdict.Error) {
	address := slot.Instance.Address
	route := h.route(address)
	if route.Detour {
		response, failed := h.detour(ctx, slot, r, fresh)
		switch {
		case failed == nil || !errors.Is(failed, errNoDetour):
			return response, failed
		case h.Detours.stranded():
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "this node has lost its links to the backend servers").
				WithCause(failed).WithRetryAfter(jitter(noTargetRetry))
		case h.Detours.Links.Failing(address):
			return nil, failed
		}
	}
	conn, err := h.Connections.Get(ctx, address, fresh || route.Fresh, h.connectionLimit(c.service))
	if err != nil {
		failed := verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "no connection to %s", address).WithCause(err)
		if route.Detour || errors.Is(err, upstream.ErrNoConnection) || ctx.Err() != nil ||
			h.Detours == nil || !h.Detours.Links.MayBeLink(address, h.Peers.Progress(slot.Instance.ID)) {
			return nil, failed
		}
		response, second := h.detour(ctx, slot, r, fresh)
		if second != nil && errors.Is(second, errNoDetour) {
			return nil, failed
		}
		return response, second
	}
	slot.detour = false
	response, err := conn.Do(ctx, r)
	if err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "no response from %s", address).WithCause(err)
	}
	return response, nil
}

// detour sends a request through another node.
func (h *Handler) detour(ctx context.Context, slot *Slot, r *upstream.Request, fresh bool) (*upstream.Response, *verdict.Error) {
	address := slot.Instance.Address
	notSent := func(cause error) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.ReasonBackendFailed, "no connection to %s through another node", address).WithCause(cause)
	}
	carried := *r
	carried.Header = r.Header.Clone()
	stripDetour(carried.Header)
	carried.Header.Set(headerDetour, slot.Instance.ID)
	if fresh {
		carried.Header.Set(headerDetourFresh, "1")
	}
	carried.IsOwn = func(status int, header http.Header) bool {
		return refusalOf(header) != "" || r.IsOwn(status, header)
	}
	nodes, known := h.Detours.nodes()
	for _, node := range nodes {
		conn, err := h.Detours.Connections.Get(ctx, node, fresh, 0)
		if err != nil {
			continue
		}
		slot.detour = true
		h.metrics.detours.Inc(1)
		response, err := conn.Do(ctx, &carried)
		if err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "no response from %s through the node at %s", address, node).WithCause(err)
		}
		reason := refusalOf(response.Header)
		if reason == "" {
			h.Detours.lastCarrier.Store(&node)
			h.reachedByDetour(address)
			response.Early = response.Early || response.Header.Get(headerDetourEarly) != ""
			stripDetour(response.Header)
			return response, nil
		}
		discard(response)
		h.metrics.detoursRefused.Inc(1)
		switch reason {
		case cutOff:
			h.Detours.Peers.Dialled(node, reason)
			continue
		case incapable:
			continue
		case unreachable:
			h.Detours.Links.Detoured(address, false)
		case unwanted:
			h.observePause(slot, response.Header)
		}
		return nil, notSent(reason)
	}
	return nil, notSent(fmt.Errorf("%w: %d nodes known, %d asked", errNoDetour, known, len(nodes)))
}

// observePause records that an instance wants no requests from a node that would carry them.
func (h *Handler) observePause(slot *Slot, header http.Header) {
	seconds, err := strconv.ParseFloat(header.Get(headerDetourPause), 64)
	if err != nil || !(seconds >= 0) {
		_ = level.Warn(h.Logger).Log("msg", "invalid pause in the refusal of another node ignored", "instance", slot.Instance.ID, headerDetourPause, header.Get(headerDetourPause))
		return
	}
	pause := time.Duration(min(seconds, throttle.MaxRetryAfter.Seconds()) * float64(time.Second))
	// What the instance states about its limit isn't known here.
	h.Dispatcher.ObserveResponse(slot.Instance, throttle.Statement{RetryAfter: pause, Incomplete: true}, time.Now())
}

// reachedByDetour records that another node has reached an address. If that shows that this node
// is stranded, what it has seen of the servers until then was the failure of its own links.
func (h *Handler) reachedByDetour(address string) {
	before := h.Detours.stranded()
	h.Detours.Links.Detoured(address, true)
	if before || !h.Detours.stranded() {
		return
	}
	h.Connections.CloseIdle(func(string) bool { return false })
	h.Dispatcher.tables.Load().Each(func(t *Target) { t.Load.record.Withdraw() })
}

// ProbeLinks tries direct connections while this node is stranded, until ctx is cancelled.
func (h *Handler) ProbeLinks(ctx context.Context) error {
	for wait.For(ctx, probePause) {
		n := roundProbes
		for due := h.Detours.Links.DueProbes(n); len(due) > 0; due = h.Detours.Links.DueProbes(n) {
			if !h.probe(ctx, due) {
				break
			}
			n = len(due) * roundProbes
		}
	}
	return nil
}

// probe tries direct connections and reports whether one was established.
func (h *Handler) probe(ctx context.Context, addresses []string) bool {
	var reached atomic.Bool
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() {
			// The ledger gets the error.
			if h.Connections.Warm(ctx, address) == nil {
				reached.Store(true)
			}
		})
	}
	all.Wait()
	return reached.Load()
}

// silenceOf returns what the silence of one attempt shows of its backend server: nothing, if it
// was sent over a link of this node that has failed.
func (h *Handler) silenceOf(slot *Slot) suspicion.Kind {
	k := silenceKind(slot)
	if k == suspicion.Silent && h.Detours != nil && !slot.detour {
		h.Detours.Links.Silent(slot.Instance.Address)
	}
	if h.lostLink(slot) {
		return suspicion.None
	}
	return k
}

// lostLink reports whether an attempt was sent over a link of this node, which has lost most of
// them.
func (h *Handler) lostLink(slot *Slot) bool { return !slot.detour && h.Detours.stranded() }

// discard ends a response of another node that has no body.
func discard(response *upstream.Response) {
	// After an error, or with a body, the connection is closed.
	_, _ = response.Body.Read(make([]byte, 1))
	response.Abort()
}

// checkTimeouts limit the check of an instance by other nodes. A silent one takes two connections
// that aren't answered.
var checkTimeouts = map[string]time.Duration{
	checkRefused: upstream.DefaultDialTimeout,
	checkSilent:  3 * upstream.DefaultDialTimeout,
}

// confirmDown reports whether an instance that this node found to be down is down for another
// node, too: for the first one that can tell. Without any, a node that isn't stranded trusts
// itself.
func (h *Handler) confirmDown(ctx context.Context, check, instance string) bool {
	if h.Detours == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeouts[check])
	defer cancel()
	nodes, _ := h.Detours.nodes()
	answers := make(chan detourRefusal, len(nodes))
	for _, node := range nodes {
		go func() { answers <- h.askDown(ctx, node, check, instance) }()
	}
	for range nodes {
		select {
		case answer := <-answers:
			if answer == "" || answer == unreachable {
				return answer == unreachable
			}
		case <-ctx.Done():
			return !h.Detours.stranded()
		}
	}
	return !h.Detours.stranded()
}

// askDown asks another node whether an instance is down: unreachable if it is, empty if it isn't.
func (h *Handler) askDown(ctx context.Context, node, check, instance string) detourRefusal {
	conn, err := h.Detours.Connections.Get(ctx, node, false, 0)
	if err != nil {
		return incapable
	}
	response, err := conn.Do(ctx, &upstream.Request{Method: http.MethodGet, Target: "/", Host: node,
		Header: http.Header{headerDetour: {instance}, headerDetourCheck: {check}},
		IsOwn:  func(int, http.Header) bool { return true }})
	if err != nil {
		return incapable
	}
	defer discard(response)
	return refusalOf(response.Header)
}

// checkDown runs one of the checks whether an instance is down.
func (h *Handler) checkDown(ctx context.Context, check, address string) (bool, error) {
	switch check {
	case checkRefused:
		return h.Connections.Refused(ctx, address), nil
	case checkSilent:
		return h.Connections.Silent(ctx, address), nil
	}
	return false, fmt.Errorf("%s: unknown check %q", headerDetourCheck, check)
}
