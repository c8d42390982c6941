package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rattanlanding/rattanlanding/internal/wait"
	"github.com/rattanlanding/rattanlanding/object"
)

// PlatformFaults is the body of POST /control/faults at the platform. It
// replaces all faults; the zero value ends them.
type PlatformFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without an answer while it is set.
	Hang    bool  `json:"hang,omitempty"`
	DelayMs int64 `json:"delayMs,omitempty"`
	// LoseWrites, DropWrites, LoseProbability and Seed are as in object.Faults;
	// the connection is closed instead of an answer.
	LoseWrites      int     `json:"loseWrites,omitempty"`
	DropWrites      int     `json:"dropWrites,omitempty"`
	LoseProbability float64 `json:"loseProbability,omitempty"`
	Seed            uint64  `json:"seed,omitempty"`
}

// Platform simulates the Object API, the instance list and the weight store.
type Platform struct {
	Objects   *object.Memory
	instances *instanceList
	weights   *rate.Limiter

	mu     sync.Mutex
	faults PlatformFaults
	// unhang is closed when a Hang ends.
	unhang chan struct{}
}

// NewPlatform returns a platform without objects and instances.
func NewPlatform(cfg PlatformConfig) *Platform {
	limit := rate.Inf
	if cfg.LoadsPerSecond > 0 {
		limit = rate.Limit(cfg.LoadsPerSecond)
	}
	return &Platform{
		Objects:   object.NewMemory(),
		instances: newInstanceList(time.Duration(cfg.ListLagMs) * time.Millisecond),
		weights:   rate.NewLimiter(limit, 1),
		unhang:    make(chan struct{}),
	}
}

// record makes the platform write its events to a log.
func (p *Platform) record(events *eventLog) {
	if events == nil {
		return
	}
	p.instances.events = events
	p.Objects.OnWrite(func(o object.Object) {
		events.add(Event{Kind: EventWrite, Write: &WriteRecord{Key: o.Key.String(), Version: o.Version, Value: o.Value}})
	})
}

// Close stops timers and ends calls that hang.
func (p *Platform) Close() {
	p.SetFaults(PlatformFaults{})
	p.instances.close()
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Hang && !f.Hang {
		close(p.unhang)
		p.unhang = make(chan struct{})
	}
	p.faults = f
	p.Objects.SetFaults(object.Faults{
		Unavailable: f.Down, LoseWrites: f.LoseWrites, DropWrites: f.DropWrites,
		LoseProbability: f.LoseProbability, Seed: f.Seed,
	})
}

// Handler serves the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", p.faulty(p.list))
	mux.HandleFunc("GET /objects/{kind}/{name}", p.faulty(p.get))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.faulty(p.put))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.faulty(p.delete))
	mux.HandleFunc("GET /instances", p.faulty(p.instances.serve))
	mux.HandleFunc("GET /weights/{model}/{version}", p.faulty(p.load))
	mux.HandleFunc("PUT /control/instances", p.instances.change)
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if input(w, r, &f) {
			p.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// faulty applies the faults that come before a call.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f, unhang := p.faults, p.unhang
		p.mu.Unlock()
		if f.Hang {
			select {
			case <-unhang:
			case <-r.Context().Done():
			}
			sever()
		}
		if r.Method != http.MethodGet {
			// A write takes effect even if its sender gave up.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		}
		if f.DelayMs > 0 {
			wait.For(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func keyOf(r *http.Request) object.Key {
	return object.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		o, err := p.Objects.Get(r.Context(), keyOf(r))
		p.send(w, o, err)
		return
	}
	known := object.Version(queryNumber(r, "watch"))
	o, ok, err := p.Objects.Watch(r.Context(), keyOf(r), known, queryWait(r))
	switch {
	case err == nil && !ok:
		w.WriteHeader(http.StatusNotModified)
		return
	case err == nil && o.Version == 0:
		err = object.ErrNotFound
	}
	p.send(w, o, err)
}

func (p *Platform) send(w http.ResponseWriter, o object.Object, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", o.Version.ETag())
	_, _ = w.Write(o.Value)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	var listing object.Listing
	var err error
	if r.URL.Query().Has("watch") {
		cursor := object.Version(queryNumber(r, "watch"))
		listing, err = p.Objects.WatchKind(r.Context(), kind, cursor, queryWait(r))
		if err == nil && !listing.Changed {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	} else {
		listing.Objects, err = p.Objects.List(r.Context(), kind)
	}
	if err != nil {
		fail(w, err)
		return
	}
	body := object.ListBody{Cursor: listing.Cursor, Objects: []object.ListItem{}}
	for _, o := range listing.Objects {
		body.Objects = append(body.Objects, object.ListItem{Name: o.Key.Name, Version: o.Version, Value: o.Value})
	}
	answer(w, http.StatusOK, body)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		fail(w, object.ErrTooLarge)
		return
	}
	if err != nil {
		sever()
	}
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	version, err := p.Objects.Update(r.Context(), keyOf(r), expected, value)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", version.ETag())
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := p.Objects.Delete(r.Context(), keyOf(r), expected); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// expectedVersion reads the condition of a write; writes without one are
// refused with 428.
func expectedVersion(w http.ResponseWriter, r *http.Request) (object.Version, bool) {
	if strings.TrimSpace(r.Header.Get("If-None-Match")) == "*" {
		return 0, true
	}
	version, err := object.ParseETag(r.Header.Get("If-Match"))
	if err != nil {
		http.Error(w, "If-Match or If-None-Match is needed", http.StatusPreconditionRequired)
		return 0, false
	}
	return version, true
}

// fail answers with the status of a store's error. A lost answer closes the
// connection.
func fail(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, object.ErrAmbiguous):
		sever()
	case errors.Is(err, object.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, object.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, object.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

// load answers when the weight store's rate permits one more load.
func (p *Platform) load(w http.ResponseWriter, r *http.Request) {
	if err := p.weights.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
