package quarantine

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
)

// Request is a request as far as it may be put in quarantine.
type Request struct {
	// ID is equal for requests that are the same; empty if it isn't known yet.
	ID string
	// Prompt holds the IDs of the parts of the prompt in order.
	Prompt []string
	// EarlierAttempts is the number of attempts of the same node at the request before, one
	// after the other, whose connections broke or whose engines stalled.
	EarlierAttempts int
	// Trial is true for a request in quarantine that is sent once, to find out whether it
	// still crashes engines.
	Trial bool
}

// ids returns the IDs for a ledger of a kind.
func (r *Request) ids(k Kind) []string {
	switch {
	case k == Parts:
		return r.Prompt
	case r.ID == "":
		return nil
	}
	return []string{r.ID}
}

// Reports are observations by kind.
type Reports [KindCount]*Observations

// Guard holds the ledgers of a node. Each kind has its own, because a part is told from the
// parts beside it, while a request is known by itself: the crashes under one request
// put none of its parts in quarantine, and those under many requests with one part are
// no evidence against each of them. It is safe for concurrent use.
type Guard struct {
	ledgers [KindCount]*Ledger
	// changes is published when the quarantines of any ledger change.
	changes blackboard.Section[struct{}]
	// observations is published when this node has observed something to be reported.
	observations blackboard.Section[struct{}]
}

// NewGuard returns a guard with empty ledgers. It ignores the kind in cfg.
func NewGuard(cfg Config, logger log.Logger, registry metrics.Registry) *Guard {
	g := &Guard{}
	for k := range g.ledgers {
		cfg.Kind = Kind(k)
		g.ledgers[k] = NewLedger(cfg, logger, registry)
		g.ledgers[k].onChange = func() { g.changes.Publish(&struct{}{}) }
		g.ledgers[k].onObserve = func() { g.observations.Publish(&struct{}{}) }
	}
	return g
}

// Ledger returns the ledger of a kind.
func (g *Guard) Ledger(k Kind) *Ledger { return g.ledgers[k] }

// Match returns the quarantine that applies to a request, or nil.
func (g *Guard) Match(r Request) *Quarantine {
	q := g.ledgers[Parts].Match(r.ids(Parts))
	if q == nil && !r.Trial {
		q = g.ledgers[Requests].Match(r.ids(Requests))
	}
	return q
}

// TakeTrial reports whether a request is in quarantine and is to be sent as a trial, which
// must not be repeated.
func (g *Guard) TakeTrial(r Request) bool {
	l := g.ledgers[Requests]
	q := l.Match(r.ids(Requests))
	return q != nil && l.takeTrial(q)
}

// Changed returns a channel that is closed when the quarantines in effect change.
func (g *Guard) Changed() <-chan struct{} { return g.changes.Changed() }

// Observed returns a channel that is closed when this node observes a crash, or a sound response
// to a request that is suspected.
func (g *Guard) Observed() <-chan struct{} { return g.observations.Changed() }

// Crashed records that an engine crashed while it ran a request. begun is true if the
// engine had sent a part of the response, so that no part of the prompt is to blame.
func (g *Guard) Crashed(instance string, startedMs int64, r Request, begun bool, at time.Time) {
	if !begun {
		g.ledgers[Parts].Crashed(instance, startedMs, r, at)
	}
	g.ledgers[Requests].Crashed(instance, startedMs, r, at)
}

// Begun records that an engine was sound when it began to respond to a request.
func (g *Guard) Begun(r Request) { g.ledgers[Parts].Sound(r.ids(Parts)) }

// Answered records that an engine was sound until the end of the response to a request.
func (g *Guard) Answered(r Request) { g.ledgers[Requests].Sound(r.ids(Requests)) }

// Responded records that an engine sent a complete response of its own to a request. A success
// or a client error shows that it was sound. A server error may have been sent before the
// engine began to run the request, so it is only weighed against crashes. A refusal proves
// nothing.
func (g *Guard) Responded(r Request, status int) {
	switch {
	case status < http.StatusBadRequest:
		g.Answered(r)
	case isRefusal(status):
	case status < http.StatusInternalServerError:
		g.Begun(r)
		g.Answered(r)
	default:
		g.ledgers[Requests].Failed(r.ids(Requests))
	}
}

// isRefusal reports whether servers use a status for requests that they didn't run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Absorb records what other nodes have reported.
func (g *Guard) Absorb(reports Reports) {
	for k, r := range reports {
		g.ledgers[k].Absorb(r)
	}
}

// Report returns what this node has to tell other nodes.
func (g *Guard) Report() (reports Reports) {
	for k, l := range g.ledgers {
		reports[k] = l.Report()
	}
	return reports
}

// Current returns the quarantines in effect.
func (g *Guard) Current() (list []*Quarantine) {
	for _, l := range g.ledgers {
		list = append(list, l.Current()...)
	}
	return list
}
