package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store, as PROTOCOL.md describes it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	// compacted is the revision up to which the history is gone.
	compacted uint64
	changed   chan struct{}
	// fault, if not nil, may answer a call instead of the store.
	fault func(w http.ResponseWriter, r *http.Request) bool
	// lateUntil is the end of the time in which a share lateShare of the writes gets no answer
	// and is done 1 to 6 s later, if its condition still holds.
	lateUntil time.Time
	lateShare float64
	// noted is called for each late write.
	noted func(format string, args ...any)
}

// loseAnswers begins a time in which answers to writes are lost.
func (s *store) loseAnswers(share float64, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare, s.lateUntil = share, time.Now().Add(d)
}

// isLate draws whether a write is done late, and by how much.
func (s *store) isLate() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.lateUntil) || rand.Float64() >= s.lateShare {
		return 0, false
	}
	return time.Second + rand.N(5*time.Second), true
}

// beat writes the entry of an engine without a condition, and reports whether it was answered.
func (s *store) beat(id string, spec any) bool {
	if after, late := s.isLate(); late {
		s.noted("store: the write of %s is done %.1f s later and not answered: %v", id, after.Seconds(), spec)
		time.AfterFunc(after, func() {
			s.noted("store: the late write of %s is done: %v", id, spec)
			s.put("servers", id, spec)
		})
		return false
	}
	s.put("servers", id, spec)
	return true
}

// withoutSequence returns an entry without the field that changes with each write.
func withoutSequence(spec json.RawMessage) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(spec, &fields) != nil {
		return string(spec)
	}
	delete(fields, "sequence")
	data, _ := json.Marshal(fields)
	return string(data)
}

func newStore(address string) (*store, error) {
	s := &store{objects: map[string]map[string]object{}, revision: 100, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes an object without a condition.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{o, true, kind})
	s.notify()
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, found := s.objects[kind][name]
	if found && (string(old.Spec) == string(spec) || (kind == "servers" && withoutSequence(old.Spec) == withoutSequence(spec))) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if found {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{o, false, kind})
	s.notify()
	return o
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setFault(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(w, r) {
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.update(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) update(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	var o object
	if err == nil {
		err = json.Unmarshal(data, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	if after, late := s.isLate(); late {
		s.noted("store: %s %s of a node is done %.1f s later and not answered", r.Method, r.URL.Path, after.Seconds())
		time.AfterFunc(after, func() { s.apply(httptest.NewRecorder(), r.Method, kind, name, o) })
		<-r.Context().Done()
		return
	}
	s.apply(w, r.Method, kind, name, o)
}

// apply carries out a write.
func (s *store) apply(w http.ResponseWriter, method, kind, name string, o object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
