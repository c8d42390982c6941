package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// instanceList is the platform's list; changes become visible after a lag.
type instanceList struct {
	lag     time.Duration
	mu      sync.Mutex
	truth   fleet.InstanceList
	visible fleet.InstanceList
	changed chan struct{}
	closed  bool
	events  *eventLog
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, changed: make(chan struct{})}
}

// InstanceChange is the body of PUT /control/instances.
type InstanceChange struct {
	// Put adds or replaces entries by ID.
	Put []fleet.Instance `json:"put,omitempty"`
	// Remove names IDs of entries to remove.
	Remove []string `json:"remove,omitempty"`
}

func (l *instanceList) change(w http.ResponseWriter, r *http.Request) {
	var c InstanceChange
	if input(w, r, &c) {
		l.apply(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (l *instanceList) apply(c InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(l.truth.Instances), func(i fleet.Instance) bool {
		return slices.Contains(c.Remove, i.ID) ||
			slices.ContainsFunc(c.Put, func(p fleet.Instance) bool { return p.ID == i.ID })
	})
	next = append(next, c.Put...)
	slices.SortFunc(next, func(a, b fleet.Instance) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	l.truth = fleet.InstanceList{Version: l.truth.Version + 1, Instances: next}
	shown := l.truth
	if l.lag <= 0 {
		l.show(shown)
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.show(shown)
	})
}

// show publishes a version unless a newer one is visible; l.mu is held.
func (l *instanceList) show(list fleet.InstanceList) {
	if l.closed || list.Version <= l.visible.Version {
		return
	}
	l.visible = list
	l.events.add(Event{Kind: EventList, Leaving: leavingOf(list)})
	close(l.changed)
	l.changed = make(chan struct{})
}

// leavingOf names the instances that a list shows as leaving.
func leavingOf(list fleet.InstanceList) []string {
	var leaving []string
	for i := range list.Instances {
		if list.Instances[i].State == fleet.InstanceLeaving {
			leaving = append(leaving, list.Instances[i].ID)
		}
	}
	return leaving
}

func (l *instanceList) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *instanceList) serve(w http.ResponseWriter, r *http.Request) {
	after := queryNumber(r, "after")
	timer := time.NewTimer(queryWait(r))
	defer timer.Stop()
	for {
		l.mu.Lock()
		list, changed := l.visible, l.changed
		l.mu.Unlock()
		if list.Version != after {
			answer(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// registrar changes the instance list and loads weights at a platform in any
// process. Without an address it does nothing.
type registrar struct {
	address string
	client  *http.Client
	pending []fleet.Instance
	events  *eventLog
}

func newRegistrar(address string) *registrar {
	return &registrar{address: address, client: &http.Client{}}
}

func (g *registrar) add(i fleet.Instance) { g.pending = append(g.pending, i) }

// register lists all added instances in one change.
func (g *registrar) register(ctx context.Context) error {
	if len(g.pending) == 0 {
		return nil
	}
	return g.put(ctx, g.pending...)
}

// put adds or replaces entries of the instance list.
func (g *registrar) put(ctx context.Context, instances ...fleet.Instance) error {
	return g.change(ctx, InstanceChange{Put: instances})
}

func (g *registrar) change(ctx context.Context, c InstanceChange) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return g.call(ctx, http.MethodPut, "/control/instances", body)
}

// load waits for the weight store.
func (g *registrar) load(ctx context.Context, service, version string) error {
	return g.call(ctx, http.MethodGet, "/weights/"+service+"/"+version, nil)
}

func (g *registrar) call(ctx context.Context, method, path string, body []byte) error {
	if g.address == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("platform answered %d to %s %s", response.StatusCode, method, path)
	}
	return nil
}
