package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
)

// addStrike adds a strike unless it is known or the part was sound since. own is true if this
// node has seen the crash.
func (l *Ledger) addStrike(s Strike, at time.Time, own bool) {
	r := l.records[s.Part]
	if r == nil {
		soundAt := l.sound.at(s.Part)
		r = &record{part: s.Part, soundAt: soundAt}
		l.records[s.Part] = r
		if !soundAt.IsZero() {
			l.ownClearances[s.Part] = ownClearance{soundAt, l.now()}
		}
	}
	known := slices.ContainsFunc(r.strikes, func(o strike) bool { return o.engine == s.Engine && o.prompt == s.Prompt })
	if known || !at.After(r.soundAt) {
		return
	}
	r.depth, r.struckAt = max(r.depth, s.Depth), l.now()
	r.strikes = append(r.strikes, strike{engine: s.Engine, prompt: s.Prompt, at: at, depth: s.Depth, own: own})
	if len(r.strikes) > maxRecordStrikes {
		r.strikes = r.strikes[1:]
	}
}

// clear records that a part appeared in a sound response, or that other nodes received server
// errors to a request.
func (l *Ledger) clear(p Part, at time.Time) {
	if r := l.records[p.errors()]; r != nil && l.cfg.Kind == Requests && at.Sub(r.errorAt) >= clearanceInterval {
		r.errors, r.errorAt = r.errors+1, at
	}
	firstSound := false
	if r := l.records[p]; r != nil && at.After(r.soundAt) {
		firstSound = r.soundAt.IsZero()
		r.soundAt, r.errors = at, 0
		r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return !s.at.After(at) })
	}
	for _, n := range l.notices {
		if n.liftedAt.IsZero() && slices.Contains(n.Parts, p) && (at.After(n.decidedAt) || (firstSound && l.needsMoreOnceSound(&n.Notice))) {
			n.liftedAt = latest(at, n.decidedAt)
			l.lifted.Inc(1)
			_ = level.Warn(l.logger).Log("msg", "quarantine lifted: a response was sound", "part", p,
				"parts", fmt.Sprint(n.Parts), "since", n.Since)
		}
	}
}

// needsMoreOnceSound reports whether the crashes that led to a quarantine don't suffice for a
// request that was sound before. The node that decided didn't know.
func (l *Ledger) needsMoreOnceSound(n *Notice) bool {
	return l.cfg.Kind == Requests && n.Crashes >= minRequestEngines && n.Crashes < minRequestEnginesOnceSound
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// adopt records a quarantine of another node. A known one is only prolonged by a renewal, so
// that nodes don't renew it for each other, and one that was decided before a sound response
// isn't taken again.
func (l *Ledger) adopt(received Notice, now time.Time) {
	received.Parts = slices.Clone(received.Parts)
	slices.Sort(received.Parts)
	known := l.notices[received.key()]
	decidedAt := now.Add(-time.Duration(received.AgeMs) * time.Millisecond)
	renewal := known != nil && decidedAt.Sub(known.decidedAt) >= renewalGap
	if received.RemainingMs == 0 || (known != nil && ((known.inEffect(now) && !renewal) || known.Since >= received.Since || known.liftedAt.After(decidedAt))) {
		return
	}
	for _, p := range received.Parts {
		if soundAt := l.sound.at(p); soundAt.After(decidedAt) || (!soundAt.IsZero() && l.needsMoreOnceSound(&received)) {
			l.ownClearances[p] = ownClearance{soundAt, now}
			return
		}
	}
	remaining := l.spread(min(time.Duration(received.RemainingMs)*time.Millisecond, l.cfg.Duration))
	l.notices[received.key()] = &notice{Notice: received, decidedAt: decidedAt, until: now.Add(remaining)}
	l.adopted.Inc(1)
	_ = level.Warn(l.logger).Log("msg", "quarantine, as reported by another node", "parts", fmt.Sprint(received.Parts),
		"crashes", received.Crashes, "prompts", received.Prompts, "remaining_ms", remaining.Milliseconds())
}

// spread returns the time until the end of a quarantine at this node.
func (l *Ledger) spread(d time.Duration) time.Duration {
	if l.cfg.Kind != Requests || d < expiryFraction {
		return d
	}
	return d - rand.N(d/expiryFraction)
}

// decide removes what has expired, puts parts in quarantine for which the evidence
// suffices, and publishes the result. The caller holds the lock.
func (l *Ledger) decide() {
	now := l.now()
	l.expire(now)
	for {
		var active [][]Part
		for _, n := range l.notices {
			if n.inEffect(now) {
				active = append(active, n.Parts)
			}
		}
		d, found := l.cfg.Kind.decide(l.records, active, l.expiredRecently, now)
		if !found {
			break
		}
		duration := l.cfg.Duration
		if l.cfg.Kind == Requests && !d.renewal {
			duration = min(duration, firstRequestDuration)
		}
		duration = l.spread(duration)
		n := Notice{Parts: d.parts, Crashes: uint16(d.crashes), Prompts: uint16(d.prompts), Since: now.UnixMilli()}
		if known := l.notices[n.key()]; known != nil {
			n.Since = max(n.Since, known.Since+1)
		}
		l.notices[n.key()] = &notice{Notice: n, decidedAt: now, until: now.Add(duration)}
		l.decided.Inc(1)
		_ = level.Warn(l.logger).Log("msg", "quarantine: engines crashed under requests", "parts", fmt.Sprint(d.parts),
			"crashes", d.crashes, "prompts", d.prompts, "engines", fmt.Sprint(d.engines), "duration_ms", duration.Milliseconds())
	}
	l.publish(now)
}

func (n *notice) inEffect(now time.Time) bool { return n.liftedAt.IsZero() && now.Before(n.until) }

// expiredRecently reports whether a part was in a quarantine that has expired.
func (l *Ledger) expiredRecently(p Part) bool {
	now := l.now()
	for _, n := range l.notices {
		if n.liftedAt.IsZero() && !now.Before(n.until) && slices.Contains(n.Parts, p) {
			return true
		}
	}
	return false
}

// expire removes outdated evidence and quarantines, and the excess ones.
func (l *Ledger) expire(now time.Time) {
	for p, r := range l.records {
		r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return now.Sub(s.at) > l.cfg.Kind.evidenceTime() })
		if len(r.strikes) == 0 && now.Sub(r.struckAt) > reportTime {
			delete(l.records, p)
		}
	}
	removeOldest(l.records, l.cfg.Kind.maxRecords())
	var current, past []*notice
	for key, n := range l.notices {
		switch {
		case n.inEffect(now):
			current = append(current, n)
		case now.Sub(n.until) > l.cfg.Duration:
			delete(l.notices, key)
		default:
			past = append(past, n)
		}
	}
	newestFirst := func(a, b *notice) int { return b.decidedAt.Compare(a.decidedAt) }
	slices.SortFunc(current, newestFirst)
	slices.SortFunc(past, newestFirst)
	for _, n := range current[min(len(current), l.cfg.Kind.maxInEffect()):] {
		n.until = now
	}
	for _, n := range append(past, current[min(len(current), l.cfg.Kind.maxInEffect()):]...) {
		l.spend(n)
	}
	for _, n := range past[min(len(past), maxExpired):] {
		delete(l.notices, n.key())
	}
	l.ownStrikes = slices.DeleteFunc(l.ownStrikes, func(s ownStrike) bool { return now.Sub(s.at) > reportTime })
	l.ownStrikes = l.ownStrikes[max(len(l.ownStrikes)-maxOwnStrikes, 0):]
	maps.DeleteFunc(l.ownClearances, func(_ Part, c ownClearance) bool { return now.Sub(c.reportedSince) > reportTime })
}

// spend removes the strikes that led to a quarantine that has expired, so that only a
// further crash renews it.
func (l *Ledger) spend(n *notice) {
	if n.spent || !n.liftedAt.IsZero() {
		return
	}
	n.spent = true
	for _, p := range n.Parts {
		if r := l.records[p]; r != nil {
			r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return !s.at.After(n.until) })
			r.errors = 0
		}
	}
}

// removeOldest removes the records that were struck longest ago until at most limit are
// left.
func removeOldest(records map[Part]*record, limit int) {
	if len(records) <= limit {
		return
	}
	list := slices.SortedFunc(maps.Values(records), func(a, b *record) int { return a.struckAt.Compare(b.struckAt) })
	for _, r := range list[:len(list)-limit] {
		delete(records, r.part)
	}
}

// publish replaces the quarantines that the request path uses if they have changed.
func (l *Ledger) publish(now time.Time) {
	var list []*Quarantine
	for _, n := range l.notices {
		if n.inEffect(now) {
			list = append(list, &Quarantine{Notice: n.Notice, Kind: l.cfg.Kind, Until: n.until, decidedAt: n.decidedAt})
		}
	}
	slices.SortFunc(list, func(a, b *Quarantine) int { return strings.Compare(a.key(), b.key()) })
	if !slices.EqualFunc(list, l.Current(), func(a, b *Quarantine) bool { return a.key() == b.key() && a.Since == b.Since }) {
		l.inEffect.Publish(&list)
		if l.onChange != nil {
			l.onChange()
		}
	}
}
