package entry

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/evacuation"
	"github.com/rattanlanding/rattanlanding/follow"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// Limits of the log lines about requests of evacuations that can't be decoded.
const (
	oddEvacuationLinesAtFirst = 10
	oddEvacuationLineInterval = time.Second
)

// evacuationState decodes the evacuations in the store's copy and keeps what is in effect.
// Its methods, except cursor, are called by one goroutine. A nil state has no evacuations.
type evacuationState struct {
	follower *follow.Follower
	ledger   *evacuation.Ledger
	logger   log.Logger
	oddLimit rate.Sometimes
	// odd are the versions of the requests that couldn't be decoded, by name.
	odd map[string]object.Version
	// known is true once the copy contained an evacuation.
	known atomic.Bool
}

func newEvacuationState(f *follow.Follower, l *evacuation.Ledger, logger log.Logger) *evacuationState {
	return &evacuationState{follower: f, ledger: l, logger: logger, odd: map[string]object.Version{},
		oddLimit: rate.Sometimes{First: oddEvacuationLinesAtFirst, Interval: oddEvacuationLineInterval}}
}

// changed returns a channel that is closed when the copy changes.
func (s *evacuationState) changed() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.follower.Current.Changed()
}

// cursor returns the version of the copy; 0 if it never contained an evacuation.
func (s *evacuationState) cursor() object.Version {
	if s == nil || !s.known.Load() {
		return 0
	}
	return s.follower.Current.Load().Cursor
}

// update returns the evacuations in effect, and whether there is a copy of them yet. It must
// be called again at the returned time, unless that is zero.
func (s *evacuationState) update(now time.Time) (result engine.Evacuations, known bool, again time.Time) {
	if s == nil {
		return nil, true, time.Time{}
	}
	snapshot := s.follower.Current.Load()
	if snapshot == nil {
		return nil, false, time.Time{}
	}
	if len(snapshot.Objects) > 0 {
		s.known.Store(true)
	}
	result, again = s.ledger.Update(snapshot.Cursor.Era(), s.decode(snapshot), now)
	return result, true, again
}

// decode returns the requests in a copy. One that can't be decoded is logged once.
func (s *evacuationState) decode(snapshot *follow.Snapshot) []evacuation.Request {
	var requests []evacuation.Request
	odd := map[string]object.Version{}
	for _, o := range snapshot.Objects {
		r, err := platform.DecodeEvacuation(o)
		if err == nil {
			requests = append(requests, r)
			continue
		}
		odd[o.Key.Name] = o.Version
		if s.odd[o.Key.Name] != o.Version {
			s.oddLimit.Do(func() {
				_ = level.Warn(s.logger).Log("msg", "invalid request to evacuate a failure domain ignored", "err", err)
			})
		}
	}
	s.odd = odd
	return requests
}

// coldServers returns the servers that are cold, or may be: what the list says of those whose
// domain was just taken back may be older than their coldness.
func (ps *PlatformState) coldServers(c *catalog.Configuration, r *engine.Roster, now time.Time) map[throttle.Server]throttle.Cold {
	cold := map[throttle.Server]throttle.Cold{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.ColdRate <= 0 {
			continue
		}
		for _, in := range r.ByService[s.Name] {
			until := in.ColdUntil
			if at := ps.evacuations.returnedAt(in.FailureDomain); !at.IsZero() && at.Add(s.ColdTime).After(until) {
				until = at.Add(s.ColdTime)
			}
			if until.After(now) {
				cold[throttle.ServerOf(in.ID, in.StartedMs)] = throttle.Cold{Rate: s.ColdRate, Until: until}
			}
		}
	}
	return cold
}

// returnedAt returns when a domain was last taken back, or zero if that is long ago.
func (s *evacuationState) returnedAt(domain string) time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.ledger.ReturnedAt(domain)
}
