package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

// Set holds the running stand-ins of one process.
type Set struct {
	// Platform is nil if the configuration has none.
	Platform       *Platform
	Engines        []*Engine
	Servers        []*Server
	platformClient *platformClient
	logger         log.Logger
	servers        []*http.Server
	closers        []func()
}

// Start listens on all addresses and registers the instances with the platform. On
// error it stops everything that it started.
func Start(ctx context.Context, cfg Config, logger log.Logger) (*Set, error) {
	s := &Set{logger: logger}
	if err := s.start(ctx, cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(ctx context.Context, cfg Config) error {
	events, err := openEvents(cfg.EventsFile)
	if err != nil {
		return err
	}
	s.closers = append(s.closers, events.close)
	if cfg.Platform != nil {
		s.Platform = NewPlatform(*cfg.Platform)
		s.Platform.recordEvents(events)
		s.closers = append(s.closers, s.Platform.Close)
		if err := s.listen(cfg.Platform.Address, s.Platform.Handler()); err != nil {
			return err
		}
		if cfg.PlatformAddress == "" {
			cfg.PlatformAddress = cfg.Platform.Address
		}
	}
	client := newPlatformClient(cfg.PlatformAddress)
	client.events = events
	s.platformClient = client
	for _, pool := range cfg.Engines {
		list, err := pool.instances()
		if err != nil {
			return err
		}
		for _, instance := range list {
			engine := NewEngine(instance, pool, client)
			s.Engines = append(s.Engines, engine)
			s.closers = append(s.closers, engine.Close)
			if err := s.listen(instance.Address, engine.Handler()); err != nil {
				return err
			}
			client.add(instance)
		}
	}
	for _, pool := range cfg.Servers {
		list, err := pool.instances()
		if err != nil {
			return err
		}
		for _, instance := range list {
			server := NewServer(instance, client)
			s.Servers = append(s.Servers, server)
			if err := s.listen(instance.Address, server.Handler()); err != nil {
				return err
			}
			client.add(instance)
		}
	}
	return client.register(ctx)
}

// listen serves handler on address until the set is closed.
func (s *Set) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = s.logger.Log("msg", "listener failed; no more connections accepted at its address", "address", address, "err", err)
		}
	}()
	return nil
}

// Stop marks the instances as leaving, waits for requests in progress until ctx is
// done, removes the instances from the list and closes all listeners. Engines wait
// for the release of their role, unless the platform stops with them.
func (s *Set) Stop(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var removed []string
	for _, e := range s.Engines {
		_ = e.leave(leaveCtx)
		removed = append(removed, e.instance.ID)
	}
	for _, p := range s.Servers {
		_ = p.leave(leaveCtx)
		removed = append(removed, p.instance.ID)
	}
	for _, e := range s.Engines {
		for s.Platform == nil && ctx.Err() == nil && e.busy() {
			wait.For(ctx, 50*time.Millisecond)
		}
	}
	if s.Platform == nil && s.platformClient != nil && len(removed) > 0 {
		removeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = s.platformClient.change(removeCtx, InstanceChange{Remove: removed})
	}
	// Servers are stopped in reverse order of their start, so that the platform
	// stops last.
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Shutdown(ctx); err != nil {
			_ = s.servers[i].Close()
		}
	}
	s.Close()
}

// Close closes all listeners and connections at once, as a crash would do.
func (s *Set) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, c := range s.closers {
		c()
	}
	s.servers, s.closers = nil, nil
}

// writeJSON responds with body as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes a JSON body of at most 4 MB. On an error it responds with
// status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// queryUint returns an unsigned query parameter, or 0 if it is missing or invalid.
func queryUint(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// queryTimeout returns the query parameter timeoutMs.
func queryTimeout(r *http.Request) time.Duration {
	return time.Duration(queryUint(r, "timeoutMs")) * time.Millisecond
}

// abortConnection ends the handler with a panic that makes net/http close the
// connection without completing the response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
