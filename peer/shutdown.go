package peer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// shutdownTimeout is the time that answers in progress get when Run ends.
	shutdownTimeout = time.Second
	// shutdownPoll is the time between looks at the answers in progress. The
	// first one also lets the newest answer leave.
	shutdownPoll = 20 * time.Millisecond
)

// counted counts in running the requests that next is answering.
func counted(running *atomic.Int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// shutdown stops server once it answers no request. Server.Shutdown alone takes
// a second, because net/http keeps idle HTTP/2 connections for that long.
func shutdown(ctx context.Context, server *http.Server, running *atomic.Int64) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	go func() { _ = server.Shutdown(ctx) }()
	for wait.For(ctx, shutdownPoll) && running.Load() > 0 {
	}
	_ = server.Close()
}
