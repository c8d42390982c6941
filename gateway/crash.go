package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/route"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	// crashCheckDelay is the time after a connection broke in which the process of a
	// crashed engine ends.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout limits the request for the report of one backend server.
	crashCheckTimeout = 600 * time.Millisecond
	// crashCheckWait is how long a request waits for the outcome of a check before its next
	// attempt. Where an engine crashed, the address responds or refuses at once; that of a
	// lost host does neither.
	crashCheckWait = 150 * time.Millisecond
)

// sending is an attempt as it was sent. It keeps the snapshots of that time, because a crash
// changes all of them.
type sending struct {
	target     *route.Target
	placements *blackboard.Placements
	instances  *fleet.InstanceList
	evidence   *blackboard.Evidence
}

// process is a run of a backend server's process.
type process struct{ instance, address, boot string }

func (g *Gateway) newSending(target *route.Target) *sending {
	return &sending{target, g.Board.Placements.Load(), g.Board.Instances.Load(), g.Board.Evidence.Load()}
}

// processes returns the processes that the attempt depends on: each member of a group may be
// the one that crashed. The boot is empty if it isn't known.
func (s *sending) processes() []process {
	var list []process
	if group := s.group(); group != nil {
		for _, m := range group.Members {
			list = append(list, process{instance: m.Instance, address: m.Address})
		}
	} else if s.instances != nil && s.instances.Instance(s.target.Name) != nil {
		list = append(list, process{instance: s.target.Name, address: s.target.Address})
	}
	for i := range list {
		if s.evidence != nil {
			list[i].boot = s.evidence.ByInstance[list[i].instance].Report.Boot
		}
	}
	return list
}

// startKey returns a number that changes when one of the processes is started again. A group
// counts as one engine, however many of its members end with it.
func startKey(processes []process) int64 {
	d := xxhash.New()
	for _, p := range processes {
		_, _ = d.WriteString(strconv.Quote(p.instance) + strconv.Quote(p.boot))
	}
	return int64(d.Sum64())
}

// group returns the group that is the target, or nil.
func (s *sending) group() *fleet.PlacedGroup {
	if s.placements == nil || s.target.Generation == 0 {
		return nil
	}
	for _, placement := range s.placements.ByDomain {
		if group := placement.Placement.Group(s.target.Name); group != nil && group.Generation == s.target.Generation {
			return group
		}
	}
	return nil
}

// hasEnded decides by the response to a request for its report whether a process has ended: a
// later one responds, or none accepts connections. A broken connection alone is no crash: it
// may have been reset, or the host may be lost.
func (p process) hasEnded(report fleet.Report, err error) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return report.Instance == p.instance && p.boot != "" && report.Boot != "" && report.Boot != p.boot
}

// mayHaveCrashed reports whether backend servers may have crashed under an attempt that failed
// with err. Callers that leave and deadlines that pass say nothing about them.
func mayHaveCrashed(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && verdict.Of(err).Verdict != verdict.NotRun
}

// checkCrash reports to the quarantine and calls onCrash if processes ended while the attempt
// was under way. It returns once that is known, at the latest after crashCheckWait; onCrash may
// be called later.
func (g *Gateway) checkCrash(r *request, s *sending, subject quarantine.Request, onCrash func()) {
	brokeAt, done := time.Now(), make(chan struct{})
	g.background.Go(func() {
		defer close(done)
		time.Sleep(crashCheckDelay)
		processes := s.processes()
		ended := g.findEnded(processes)
		if len(ended) == 0 {
			return
		}
		g.metrics.crashes.Inc(1)
		_ = level.Warn(g.Logger).Log("msg", "backend servers crashed under a request", "request", r.id,
			"organisation", r.organisation.Name, "target", s.target.Name, "instances", fmt.Sprint(ended), "id", subject.ID)
		g.Quarantine.Crashed(s.target.Name, startKey(processes), subject, true, brokeAt)
		onCrash()
	})
	timer := time.NewTimer(crashCheckWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// findEnded returns the instances of those of the processes that have ended, in ascending
// order. Concurrent checks of a process share one request.
func (g *Gateway) findEnded(processes []process) (ended []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range processes {
		all.Go(func() {
			result, _, _ := g.crashChecks.Do(p.instance+" "+p.boot, func() (any, error) {
				ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
				defer cancel()
				report, err := g.Statuses.Status(ctx, p.address)
				return p.hasEnded(report, err), nil
			})
			if result == true {
				mu.Lock()
				defer mu.Unlock()
				ended = append(ended, p.instance)
			}
		})
	}
	all.Wait()
	slices.Sort(ended)
	return ended
}
