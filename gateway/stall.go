package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// stallDetector cancels an attempt when no token arrives and its group is no longer
// proven healthy, so that the stream can resume on another group. It is needed because
// a paused or partitioned engine does not close the connection.
type stallDetector struct {
	gateway      *Gateway
	target       *route.Target
	cancel       context.CancelCauseFunc
	lastProgress atomic.Int64
	stopped      atomic.Bool
	timer        *time.Timer
	// start is when the detector was started; lastProgress counts from it.
	start time.Time
}

// errStalled is the cause with which a stalled attempt is cancelled.
var errStalled = verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "the group stopped answering")

func (g *Gateway) startStallDetector(target *route.Target, cancel context.CancelCauseFunc) *stallDetector {
	d := &stallDetector{gateway: g, target: target, cancel: cancel, start: time.Now()}
	// The timer may fire before it is stored in d.timer, which check uses, so its
	// function waits for ready.
	ready := make(chan struct{})
	d.timer = time.AfterFunc(g.config.StallCheck, func() {
		<-ready
		d.check()
	})
	close(ready)
	return d
}

// progress records that a token arrived.
func (d *stallDetector) progress() { d.lastProgress.Store(int64(time.Since(d.start))) }

// check cancels the attempt if it has stalled, and otherwise schedules the next check.
func (d *stallDetector) check() {
	if d.stopped.Load() {
		return
	}
	now := time.Now()
	idle := now.Sub(d.start) - time.Duration(d.lastProgress.Load())
	config := &d.gateway.config
	unhealthy := idle >= config.StallCheck &&
		!d.gateway.Table.Load().Alive(d.target.Name, d.target.Generation, now)
	if unhealthy || idle >= config.StallTimeout {
		d.cancel(errStalled)
		return
	}
	d.timer.Reset(config.StallCheck)
}

// stop ends the checks.
func (d *stallDetector) stop() {
	d.stopped.Store(true)
	d.timer.Stop()
}
