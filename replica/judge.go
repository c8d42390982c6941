package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Defaults of Rules.
const (
	DefaultConfirmedFor = 9 * time.Second
	DefaultHeardWithin  = 5 * time.Second
	DefaultForgetAfter  = 60 * time.Second
)

// Rules are the durations of the confirmation.
type Rules struct {
	// ConfirmedFor is how long a confirmation allows a node to serve; 9 s by
	// default. A configuration must be in force everywhere within 12 s.
	ConfirmedFor time.Duration
	// HeardWithin is how long a contact counts towards a majority; 5 s by
	// default.
	HeardWithin time.Duration
	// ForgetAfter is the silence after which a member no longer counts; 60 s by
	// default. It is applied only while confirmed and in a majority.
	ForgetAfter time.Duration
	// PendingFor is the time after its preparation at which a revision that is
	// still not the newest counts as refused; 10 s by default.
	PendingFor time.Duration
}

// withDefaults returns r with its zero fields set.
func (r Rules) withDefaults() Rules {
	r.ConfirmedFor = cmp.Or(r.ConfirmedFor, DefaultConfirmedFor)
	r.HeardWithin = cmp.Or(r.HeardWithin, DefaultHeardWithin)
	r.ForgetAfter = cmp.Or(r.ForgetAfter, DefaultForgetAfter)
	r.PendingFor = cmp.Or(r.PendingFor, DefaultPendingFor)
	return r
}

// Knowledge is what a node knows when it decides whether to serve.
type Knowledge struct {
	Now time.Time
	// Held tells whether a configuration is held at all.
	Held bool
	// Revision is the configuration revision held.
	Revision fleet.Revision
	// Newest is the newest revision that a peer stated or that may have been
	// accepted.
	Newest fleet.Revision
	// ConfirmedAt is the newest moment at which no newer revision than Revision
	// had been accepted; zero for a fresh node.
	ConfirmedAt time.Time
	// Self is this node's peer address.
	Self string
	// Electorate holds the peer addresses of which a majority is needed, Self
	// among them.
	Electorate []string
	// Left holds the peer addresses of members that announced their stop.
	Left map[string]bool
	// HeardAt maps peer addresses to the newest contact, direct or relayed.
	HeardAt map[string]time.Time
}

// Judgement is the decision.
type Judgement struct {
	// ServeUntil is zero if the node may not serve.
	ServeUntil time.Time
	// Majority tells whether a majority was heard within Rules.HeardWithin.
	Majority bool
	// Confirmed tells whether the last confirmation still holds.
	Confirmed bool
}

// Judge decides whether a node may serve. A confirmation allows it for
// ConfirmedFor. Without one it may serve while a majority is heard and nobody
// has a newer revision: every accepted revision reaches a majority, and any two
// majorities share a member.
func Judge(k *Knowledge, rules Rules) Judgement {
	var j Judgement
	oldest, ok := majorityContact(k)
	j.Majority = ok && k.Now.Sub(oldest) <= rules.HeardWithin
	if !k.Held {
		return j
	}
	if !k.ConfirmedAt.IsZero() {
		j.ServeUntil = k.ConfirmedAt.Add(rules.ConfirmedFor)
		j.Confirmed = !k.Now.After(j.ServeUntil)
	}
	if j.Majority && k.Newest <= k.Revision {
		if until := oldest.Add(rules.HeardWithin); until.After(j.ServeUntil) {
			j.ServeUntil = until
		}
	}
	return j
}

// majorityContact returns the oldest contact that the freshest majority needs.
// ok=false means that fewer members were ever heard.
func majorityContact(k *Knowledge) (oldest time.Time, ok bool) {
	contacts := make([]time.Time, 0, len(k.Electorate))
	for _, voter := range k.Electorate {
		if voter == k.Self {
			contacts = append(contacts, k.Now)
		} else if at, heard := k.HeardAt[voter]; heard {
			contacts = append(contacts, at)
		}
	}
	needed := len(k.Electorate)/2 + 1
	if len(contacts) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[needed-1], true
}

// electorate is the set of members of which a majority is needed.
type electorate struct {
	self string
	// since maps voters to the moment from which their silence counts.
	since map[string]time.Time
}

// newElectorate counts the peers in the settings and this node.
func newElectorate(self string, seeds []string, now time.Time) *electorate {
	e := &electorate{self: self, since: map[string]time.Time{self: now}}
	for _, seed := range seeds {
		e.since[seed] = now
	}
	return e
}

// voters lists the addresses in it.
func (e *electorate) voters() []string {
	voters := make([]string, 0, len(e.since))
	for voter := range e.since {
		voters = append(voters, voter)
	}
	return voters
}

// update adds the members heard and drops the silent ones and those that
// announced their stop. It changes nothing
// unless the node is confirmed. Members are dropped only in a majority, else an
// isolated node would become its own majority and serve an old revision for
// ever once the platform is gone too.
func (e *electorate) update(k *Knowledge, j Judgement, rules Rules) {
	if !j.Confirmed {
		return
	}
	for address, at := range k.HeardAt {
		if !k.Left[address] && k.Now.Sub(at) < rules.ForgetAfter && at.After(e.since[address]) {
			e.since[address] = at
		}
	}
	if !j.Majority {
		return
	}
	for voter, at := range e.since {
		if voter != e.self && (k.Left[voter] || k.Now.Sub(at) >= rules.ForgetAfter) {
			delete(e.since, voter)
		}
	}
}
