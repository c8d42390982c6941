package measure

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// fakeEngines serve GET /v1/status over HTTP, with one listener per engine.
type fakeEngines struct {
	servers   []*http.Server
	addresses []string
	reports   []atomic.Pointer[[]byte]
	lost      []atomic.Bool
	running   sync.WaitGroup
}

// startEngines starts count engines that report nothing until fill is called.
func startEngines(count int) (*fakeEngines, error) {
	e := &fakeEngines{reports: make([]atomic.Pointer[[]byte], count), lost: make([]atomic.Bool, count)}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, err
		}
		server := &http.Server{Handler: e.handler(i), ReadHeaderTimeout: time.Second}
		e.servers = append(e.servers, server)
		e.addresses = append(e.addresses, listener.Addr().String())
		e.running.Go(func() { _ = server.Serve(listener) })
	}
	return e, nil
}

// handler serves the report of an engine; a lost engine aborts the connection.
func (e *fakeEngines) handler(i int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body := e.reports[i].Load()
		if body == nil || e.lost[i].Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(*body)
	})
}

// fill sets the report of every placed engine from the placements.
func (e *fakeEngines) fill(placements []fleet.Placement) error {
	at := make(map[string]int, len(e.addresses))
	for i, a := range e.addresses {
		at[a] = i
	}
	for p := range placements {
		for g := range placements[p].Groups {
			group := &placements[p].Groups[g]
			for rank, m := range group.Members {
				body, err := json.Marshal(reportOf(group, rank))
				if err != nil {
					return err
				}
				e.reports[at[m.Address]].Store(&body)
			}
		}
	}
	return nil
}

func (e *fakeEngines) close() {
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.running.Wait()
}

// staticInstances is an instance list of the platform that never changes.
type staticInstances struct{ list fleet.InstanceList }

// Instances implements replica.InstanceSource.
func (s *staticInstances) Instances(ctx context.Context, after uint64, wait time.Duration) (fleet.InstanceList, bool, error) {
	if after == s.list.Version {
		pause(ctx, wait)
		return fleet.InstanceList{}, false, ctx.Err()
	}
	return s.list, true, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
