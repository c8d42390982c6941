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

// instanceList is the platform's instance list. Changes become visible after a lag.
type instanceList struct {
	lag     time.Duration
	mu      sync.Mutex
	current fleet.InstanceList
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
	// Remove holds the IDs of entries to remove.
	Remove []string `json:"remove,omitempty"`
}

// serveChange handles PUT /control/instances.
func (l *instanceList) serveChange(w http.ResponseWriter, r *http.Request) {
	var c InstanceChange
	if readJSON(w, r, &c) {
		l.apply(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// apply changes the current list and schedules its publication.
func (l *instanceList) apply(c InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := slices.DeleteFunc(slices.Clone(l.current.Instances), func(i fleet.Instance) bool {
		return slices.Contains(c.Remove, i.ID) ||
			slices.ContainsFunc(c.Put, func(p fleet.Instance) bool { return p.ID == i.ID })
	})
	next = append(next, c.Put...)
	slices.SortFunc(next, func(a, b fleet.Instance) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	l.current = fleet.InstanceList{Version: l.current.Version + 1, Instances: next}
	published := l.current
	if l.lag <= 0 {
		l.publish(published)
		return
	}
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.publish(published)
	})
}

// publish makes a version visible, unless it is not newer than the visible one or
// the list is closed. l.mu must be held.
func (l *instanceList) publish(list fleet.InstanceList) {
	if l.closed || list.Version <= l.visible.Version {
		return
	}
	l.visible = list
	l.events.add(Event{Kind: EventList, Leaving: leavingIDs(list)})
	close(l.changed)
	l.changed = make(chan struct{})
}

// leavingIDs returns the IDs of the instances that a list shows as leaving.
func leavingIDs(list fleet.InstanceList) []string {
	var leaving []string
	for i := range list.Instances {
		if list.Instances[i].State == fleet.InstanceLeaving {
			leaving = append(leaving, list.Instances[i].ID)
		}
	}
	return leaving
}

// close stops the publication of further versions.
func (l *instanceList) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// serve handles GET /instances, a long poll that returns once the visible version
// differs from the query's "after".
func (l *instanceList) serve(w http.ResponseWriter, r *http.Request) {
	after := queryUint(r, "after")
	timer := time.NewTimer(queryTimeout(r))
	defer timer.Stop()
	for {
		l.mu.Lock()
		list, changed := l.visible, l.changed
		l.mu.Unlock()
		if list.Version != after {
			writeJSON(w, http.StatusOK, list)
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

// platformClient changes the instance list and loads weights over HTTP, at a
// platform in this or another process. Without an address it does nothing.
type platformClient struct {
	address    string
	httpClient *http.Client
	pending    []fleet.Instance
	events     *eventLog
}

func newPlatformClient(address string) *platformClient {
	return &platformClient{address: address, httpClient: &http.Client{}}
}

// add adds an instance to those that register will list.
func (p *platformClient) add(i fleet.Instance) { p.pending = append(p.pending, i) }

// register lists all added instances in one change.
func (p *platformClient) register(ctx context.Context) error {
	if len(p.pending) == 0 {
		return nil
	}
	return p.put(ctx, p.pending...)
}

// put adds or replaces entries of the instance list.
func (p *platformClient) put(ctx context.Context, instances ...fleet.Instance) error {
	return p.change(ctx, InstanceChange{Put: instances})
}

func (p *platformClient) change(ctx context.Context, c InstanceChange) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return p.call(ctx, http.MethodPut, "/control/instances", body)
}

// load waits until the weight store admits a load of the weights.
func (p *platformClient) load(ctx context.Context, service, version string) error {
	return p.call(ctx, http.MethodGet, "/weights/"+service+"/"+version, nil)
}

func (p *platformClient) call(ctx context.Context, method, path string, body []byte) error {
	if p.address == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := p.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("platform answered %d to %s %s", response.StatusCode, method, path)
	}
	return nil
}
