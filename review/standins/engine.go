package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of the engines.
const (
	heartbeat  = 1200 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	stallTime  = 5 * time.Second
	eventGap   = 50 * time.Millisecond
)

// model is a model of the service of engines.
type model struct {
	name       string
	size       int
	load, warm time.Duration
}

// engine is a stand-in of one model engine. Engines of a fleet know each other, as the
// members of a group do.
type engine struct {
	fleet   *fleet
	id      string
	address string
	domain  string
	born    int64

	// The fields below are guarded by fleet.mu.
	sequence int
	orders   int
	staged   []string
	// last is the model of the last group since the start.
	last     string
	group    membership
	maxEpoch uint64
	members  []string
	// change counts changes of the membership; a join that was replaced ends nothing.
	change int
	// running is the number of requests in progress.
	running int
	// stalledSince is when a member of the group was first missing; zero if none is.
	stalledSince time.Time
}

// membership is what an engine reports as its group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
	model string
}

// fleet is all engines of a service.
type fleet struct {
	store   *store
	service string
	models  []model
	record  *record
	slots   int
	// loadFactor shortens loads before the first request.
	traffic bool

	mu      sync.Mutex
	engines map[string]*engine
	// broken are the violations of rules that engines have seen.
	broken []string
	// wasReady holds the members that have been ready in a group.
	wasReady map[string]bool
	// sizeFrom is when the sizes of the models are checked where requests begin to run; zero
	// if never.
	sizeFrom time.Time
	// began is the number of requests that began to run since then.
	began int
}

func newFleet(s *store, service string, models []model, rec *record) *fleet {
	return &fleet{store: s, service: service, models: models, record: rec, slots: 17, engines: map[string]*engine{}, wasReady: map[string]bool{}}
}

func (f *fleet) model(name string) *model {
	for i := range f.models {
		if f.models[i].name == name {
			return &f.models[i]
		}
	}
	return nil
}

// add starts an engine at an address.
func (f *fleet) add(id, address, domain string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e := &engine{fleet: f, id: id, address: address, domain: domain, born: time.Now().UnixMilli()}
	f.mu.Lock()
	f.engines[id] = e
	e.publish()
	f.mu.Unlock()
	go func() { _ = http.Serve(listener, e) }()
	go func() {
		for range time.Tick(heartbeat) {
			f.mu.Lock()
			e.publish()
			f.mu.Unlock()
		}
	}()
	return nil
}

// entry returns the engine's entry in the store. The caller holds fleet.mu.
func (e *engine) entry() map[string]any {
	models := []any{}
	if e.group.Name != "" {
		models = append(models, map[string]any{"name": e.group.model, "version": 1, "adapters": []any{}})
	}
	entry := map[string]any{"service": e.fleet.service, "address": e.address, "zone": "port-spain", "version": "v1",
		"slots": e.fleet.slots, "state": "ready", "coldRemainingMs": 0, "stage": "both", "models": models,
		"sequence": e.sequence, "domain": e.domain, "staged": slices.Clone(e.staged), "born": e.born}
	if e.group.Name != "" {
		entry["group"] = e.group
	}
	return entry
}

// publish writes the entry. The caller holds fleet.mu.
func (e *engine) publish() {
	e.sequence++
	e.fleet.store.put("servers", e.id, e.entry())
}

// after runs fn, unless the membership has changed by then. The caller holds fleet.mu.
func (e *engine) after(d time.Duration, fn func()) {
	change := e.change
	time.AfterFunc(d, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if e.change == change {
			fn()
			e.publish()
		}
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Rattanlanding-Expect-Instance"); expected != "" && expected != e.id {
		e.misdirected(w, r)
		return
	}
	switch r.URL.Path {
	case "/api/order":
		e.order(w, r)
	case "/api/report":
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		answer(w, http.StatusOK, e.entry())
	default:
		e.run(w, r)
	}
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rattanlanding-Request-Id", r.Header.Get("X-Rattanlanding-Request-Id"))
	w.Header().Set("X-Rattanlanding-Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"closeMode"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	status := e.execute(&o)
	e.fleet.record.add("engine", "%s answers %d to %s group=%s epoch=%d model=%s members=%v mode=%s", e.id, status, o.Operation, o.Group, o.Epoch, o.Model, o.Members, o.CloseMode)
	if status == http.StatusAccepted {
		e.orders++
		e.publish()
	}
	w.WriteHeader(status)
}

// execute carries an order out. The caller holds fleet.mu.
func (e *engine) execute(o *order) int {
	same := e.group.Name != "" && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Operation {
	case "stage":
		return e.stage(o)
	case "join":
		return e.join(o, same)
	case "open":
		switch {
		case same && e.group.State == "open":
			return http.StatusOK
		case !same || e.group.Rank != 0 || e.group.State != "ready":
			return http.StatusConflict
		}
		e.after(formTime, func() {
			e.group.State = "open"
			e.fleet.record.add("engine", "%s is the open head of %s epoch %d members=%v", e.id, e.group.Name, e.group.Epoch, e.members)
		})
		return http.StatusAccepted
	case "close":
		if !same || e.group.Rank != 0 {
			return http.StatusConflict
		}
		if e.group.State != "open" && e.group.State != "closing" {
			return http.StatusOK
		}
		if o.CloseMode == "wait" && e.running > 0 {
			// The requests in progress end first.
			e.group.State = "closing"
			return http.StatusAccepted
		}
		e.change++
		e.group.State = "ready"
		return http.StatusAccepted
	case "leave":
		if !same {
			return http.StatusConflict
		}
		e.change++
		e.group, e.members = membership{}, nil
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (e *engine) stage(o *order) int {
	m := e.fleet.model(o.Model)
	switch {
	case m == nil:
		return http.StatusBadRequest
	case slices.Contains(e.staged, o.Model):
		return http.StatusOK
	}
	time.AfterFunc(e.fleet.loadTime(m), func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		e.staged = []string{o.Model}
		e.publish()
	})
	return http.StatusAccepted
}

// loadTime returns the time of a load, a tenth before the first request.
func (f *fleet) loadTime(m *model) time.Duration {
	if f.traffic {
		return m.load
	}
	return m.load / 10
}

func (e *engine) join(o *order, same bool) int {
	m := e.fleet.model(o.Model)
	switch {
	case m == nil:
		return http.StatusBadRequest
	case o.Epoch < e.maxEpoch, same && !slices.Equal(o.Members, e.members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	e.checkTwo(o)
	d := m.warm
	switch {
	case e.last == o.Model:
		d = rejoinTime
	case !slices.Contains(e.staged, o.Model):
		d = e.fleet.loadTime(m)
	}
	e.change++
	e.maxEpoch, e.last, e.members = o.Epoch, o.Model, o.Members
	e.group = membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining", model: o.Model}
	e.after(d, func() {
		e.group.State = "ready"
		if !slices.Contains(e.staged, o.Model) {
			e.staged = []string{o.Model}
		}
		e.fleet.wasReady[readyKey(e.id, o.Group, o.Epoch, o.Members)] = true
	})
	return http.StatusAccepted
}

func readyKey(id, group string, epoch uint64, members []string) string {
	return fmt.Sprint(id, group, epoch, members)
}

// checkTwo checks the rule TWO for a join that this engine takes: the head of its group must
// not be open or closing. The caller holds fleet.mu.
func (e *engine) checkTwo(o *order) {
	if e.group.Name == "" || len(e.members) == 0 || e.group.State == "broken" {
		return
	}
	head := e.fleet.engines[e.members[0]]
	if head.group.Name == e.group.Name && head.group.Epoch == e.group.Epoch && (head.group.State == "open" || head.group.State == "closing") {
		e.fleet.breaks("TWO: %s takes the join of group %s (epoch %d, members %v) while %s, the head of its group %s (epoch %d), is %s",
			e.id, o.Group, o.Epoch, o.Members, head.id, e.group.Name, e.group.Epoch, head.group.State)
	}
}

// begin counts a request in progress.
func (e *engine) begin() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.running++
}

// end counts a request that has ended. A head that is closing is ready after its last one.
func (e *engine) end() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.running--
	if e.running == 0 && e.group.State == "closing" {
		e.change++
		e.group.State = "ready"
		e.publish()
	}
}

// checkSize checks the size of the group in which a request begins to run (rule PARTIAL).
func (e *engine) checkSize(request string) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.model(e.group.model)
	if m == nil || f.sizeFrom.IsZero() || time.Now().Before(f.sizeFrom) {
		return
	}
	f.began++
	if len(e.members) != m.size {
		f.breaks("PARTIAL: %s begins to run %s in group %s with %d members, the model's size is %d", e.id, request, e.group.Name, len(e.members), m.size)
	}
}

// breaks records that a rule was broken. The caller holds fleet.mu.
func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.record.add("BROKEN", "%s", text)
}

// moves reports whether the group of a head makes progress. The caller holds fleet.mu.
func (e *engine) moves() bool {
	for _, id := range e.members {
		m := e.fleet.engines[id]
		if m == nil || m.group.Name != e.group.Name || m.group.Epoch != e.group.Epoch {
			if e.stalledSince.IsZero() {
				e.stalledSince = time.Now()
			}
			if time.Since(e.stalledSince) >= stallTime && e.group.State != "broken" {
				e.change++
				e.group.State = "broken"
				e.publish()
			}
			return false
		}
	}
	e.stalledSince = time.Time{}
	return true
}

// run answers a request with a stream of events.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rattanlanding-Request-Id")
	w.Header().Set("X-Rattanlanding-Request-Id", id)
	e.fleet.mu.Lock()
	e.fleet.traffic = true
	group, state, change := e.group, e.group.State, e.change
	e.fleet.mu.Unlock()
	switch {
	case group.Name == "" || group.Rank != 0 || group.model != r.Header.Get("X-Rattanlanding-Model"):
		e.misdirected(w, r)
		return
	case state != "open":
		w.Header().Set("X-Rattanlanding-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.checkSize(id)
	e.begin()
	defer e.end()
	_, output, _ := cut(r.Header.Get("X-Rattanlanding-Token-Count"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Rattanlanding-Server-Signature", e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.fleet.record.add("engine", "%s runs %s from event %d", e.id, id, last+1)
	for i := last + 1; i <= output; i++ {
		for waiting := true; waiting; {
			select {
			case <-time.After(eventGap):
			case <-r.Context().Done():
				return
			}
			e.fleet.mu.Lock()
			ended := e.change != change || e.group.State == "broken"
			waiting = !e.moves()
			e.fleet.mu.Unlock()
			if ended {
				e.fleet.record.add("engine", "%s cuts %s at event %d: its group was replaced, closed or is broken", e.id, id, i)
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, r.URL.Path, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// cut splits a pair of numbers "A,B".
func cut(s string) (a, b int, ok bool) {
	n, _ := fmt.Sscanf(s, "%d,%d", &a, &b)
	return a, b, n == 2
}
