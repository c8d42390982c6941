package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, writes
// under a condition, lists and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	changed  chan struct{}
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	revision uint64
	kind     string
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object whatever its revision, as the engines and the operator do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.record(kind, true, *o)
	}
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.objects[kind][name] = o
	} else if string(o.Spec) == string(spec) {
		return *o
	}
	o.Spec, o.Metadata.Revision = spec, s.revision+1
	s.record(kind, false, *o)
	return *o
}

// record adds a change to the history. The caller holds s.mu.
func (s *store) record(kind string, deleted bool, o object) {
	s.revision++
	s.history = append(s.history, change{s.revision, kind, deleted, o})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		if o := s.objects[kind][name]; o != nil {
			answer(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	case r.Method == http.MethodGet:
		items := []*object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": s.revision})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.update(w, r, kind)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) update(w http.ResponseWriter, r *http.Request, kind string) {
	var given object
	if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	old := s.objects[kind][given.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && old == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && given.Metadata.Revision != 0 && given.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	default:
		o := s.write(kind, given.Metadata.Name, given.Spec)
		answer(w, http.StatusOK, &o)
	}
}

// watch answers with the changes after a revision, as soon as there are some. The caller
// holds s.mu, which is released while it waits.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
