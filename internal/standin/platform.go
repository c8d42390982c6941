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
	// Down makes every call fail with status 503.
	Down bool `json:"down,omitempty"`
	// Hang leaves every call without a response while it is set.
	Hang bool `json:"hang,omitempty"`
	// DelayMs is the delay before each call is handled.
	DelayMs int64 `json:"delayMs,omitempty"`
	// LoseWrites, DropWrites, LoseProbability and Seed are as in object.Faults. A
	// call that they affect ends with a closed connection and without a response.
	LoseWrites      int     `json:"loseWrites,omitempty"`
	DropWrites      int     `json:"dropWrites,omitempty"`
	LoseProbability float64 `json:"loseProbability,omitempty"`
	Seed            uint64  `json:"seed,omitempty"`
}

// Platform simulates the Object API, the instance list and the weight store.
type Platform struct {
	Objects   *object.Memory
	instances *instanceList
	// loadLimiter limits the loads from the weight store.
	loadLimiter *rate.Limiter

	mu     sync.Mutex
	faults PlatformFaults
	// hangEnded is closed when a Hang ends.
	hangEnded chan struct{}
}

// NewPlatform returns a platform with no objects and no instances.
func NewPlatform(cfg PlatformConfig) *Platform {
	limit := rate.Inf
	if cfg.LoadsPerSecond > 0 {
		limit = rate.Limit(cfg.LoadsPerSecond)
	}
	return &Platform{
		Objects:     object.NewMemory(),
		instances:   newInstanceList(time.Duration(cfg.ListLagMs) * time.Millisecond),
		loadLimiter: rate.NewLimiter(limit, 1),
		hangEnded:   make(chan struct{}),
	}
}

// recordEvents makes the platform append its events to a log. It must be called
// before the platform is used.
func (p *Platform) recordEvents(events *eventLog) {
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
		close(p.hangEnded)
		p.hangEnded = make(chan struct{})
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
	mux.HandleFunc("GET /objects/{kind}", p.withFaults(p.list))
	mux.HandleFunc("GET /objects/{kind}/{name}", p.withFaults(p.get))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.withFaults(p.put))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.withFaults(p.delete))
	mux.HandleFunc("GET /instances", p.withFaults(p.instances.serve))
	mux.HandleFunc("GET /weights/{model}/{version}", p.withFaults(p.load))
	mux.HandleFunc("PUT /control/instances", p.instances.serveChange)
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if readJSON(w, r, &f) {
			p.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// withFaults wraps a handler with the faults that take effect before the call.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f, hangEnded := p.faults, p.hangEnded
		p.mu.Unlock()
		if f.Hang {
			select {
			case <-hangEnded:
			case <-r.Context().Done():
			}
			abortConnection()
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

func objectKey(r *http.Request) object.Key {
	return object.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

// get handles GET /objects/{kind}/{name}. With the query "watch" it is a long poll
// that returns once the object's version differs from the query's.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		o, err := p.Objects.Get(r.Context(), objectKey(r))
		p.writeObject(w, o, err)
		return
	}
	known := object.Version(queryUint(r, "watch"))
	o, ok, err := p.Objects.Watch(r.Context(), objectKey(r), known, queryTimeout(r))
	switch {
	case err == nil && !ok:
		w.WriteHeader(http.StatusNotModified)
		return
	case err == nil && o.Version == 0:
		err = object.ErrNotFound
	}
	p.writeObject(w, o, err)
}

func (p *Platform) writeObject(w http.ResponseWriter, o object.Object, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", o.Version.ETag())
	_, _ = w.Write(o.Value)
}

// list handles GET /objects/{kind}. With the query "watch" it is a long poll that
// returns the objects that changed after the query's cursor.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	var listing object.Listing
	var err error
	if r.URL.Query().Has("watch") {
		cursor := object.Version(queryUint(r, "watch"))
		listing, err = p.Objects.WatchKind(r.Context(), kind, cursor, queryTimeout(r))
		if err == nil && !listing.Changed {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	} else {
		listing.Objects, err = p.Objects.List(r.Context(), kind)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	body := object.ListBody{Cursor: listing.Cursor, Objects: []object.ListItem{}}
	for _, o := range listing.Objects {
		body.Objects = append(body.Objects, object.ListItem{Name: o.Key.Name, Version: o.Version, Value: o.Value})
	}
	writeJSON(w, http.StatusOK, body)
}

// put handles PUT /objects/{kind}/{name}.
func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValueSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, object.ErrTooLarge)
		return
	}
	if err != nil {
		abortConnection()
	}
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	version, err := p.Objects.Update(r.Context(), objectKey(r), expected, value)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", version.ETag())
}

// delete handles DELETE /objects/{kind}/{name}.
func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	if err := p.Objects.Delete(r.Context(), objectKey(r), expected); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// expectedVersion reads the precondition of a write; 0 means that the object must
// not exist. It refuses a write without a precondition with status 428 and returns
// false.
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

// writeError maps an error of the object store to an HTTP status. An ambiguous
// error, which simulates a lost response, closes the connection.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, object.ErrAmbiguous):
		abortConnection()
	case errors.Is(err, object.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, object.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, object.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

// load handles GET /weights/{model}/{version}. It responds once the weight store's
// rate limit permits another load.
func (p *Platform) load(w http.ResponseWriter, r *http.Request) {
	if err := p.loadLimiter.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
