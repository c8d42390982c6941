package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// watch gives an attempt up when no token arrives and its group is no longer
// proven healthy, so that the stream can resume elsewhere. A paused or
// partitioned engine sends nothing that would end the connection.
type watch struct {
	gateway *Gateway
	target  *route.Target
	cancel  context.CancelCauseFunc
	last    atomic.Int64
	stopped atomic.Bool
	timer   *time.Timer
	start   time.Time
}

var errStalled = verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the group stopped answering")

func (g *Gateway) watch(target *route.Target, cancel context.CancelCauseFunc) *watch {
	w := &watch{gateway: g, target: target, cancel: cancel, start: time.Now()}
	// check waits for ready, because the timer may run before it is stored.
	ready := make(chan struct{})
	w.timer = time.AfterFunc(g.config.StallCheck, func() {
		<-ready
		w.check()
	})
	close(ready)
	return w
}

// progress notes that a token arrived.
func (w *watch) progress() { w.last.Store(int64(time.Since(w.start))) }

func (w *watch) check() {
	if w.stopped.Load() {
		return
	}
	now := time.Now()
	idle := now.Sub(w.start) - time.Duration(w.last.Load())
	config := &w.gateway.config
	lost := idle >= config.StallCheck &&
		!w.gateway.Table.Load().Alive(w.target.Name, w.target.Generation, now)
	if lost || idle >= config.StallTimeout {
		w.cancel(errStalled)
		return
	}
	w.timer.Reset(config.StallCheck)
}

// stop ends the watch.
func (w *watch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}
