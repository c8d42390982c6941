package peer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// shutdownTimeout is the longest wait for requests in flight when Run ends.
	shutdownTimeout = time.Second
	// shutdownPollInterval is the time between checks for requests in flight. The
	// first interval also gives the latest response time to be sent.
	shutdownPollInterval = 20 * time.Millisecond
)

// countInFlight wraps next and keeps the number of requests in flight in inFlight.
func countInFlight(inFlight *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// shutdown closes server once no request is in flight, at the latest after
// shutdownTimeout. Server.Shutdown alone takes a second, because net/http keeps idle
// HTTP/2 connections for that long.
func shutdown(ctx context.Context, server *http.Server, inFlight *atomic.Int64) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	go func() { _ = server.Shutdown(ctx) }()
	for wait.For(ctx, shutdownPollInterval) && inFlight.Load() > 0 {
	}
	_ = server.Close()
}
