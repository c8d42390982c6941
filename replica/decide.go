package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Defaults of Timeouts.
const (
	// DefaultConfirmationLifetime is how long a confirmation allows a node to serve.
	DefaultConfirmationLifetime = 9 * time.Second
	// DefaultContactLifetime is how long a contact counts towards a majority.
	DefaultContactLifetime = 5 * time.Second
	// DefaultVoterTimeout is the time without contact after which a member no longer
	// counts as a voter.
	DefaultVoterTimeout = 60 * time.Second
)

// Timeouts are the durations that determine whether a node may serve. Zero values mean
// the defaults.
type Timeouts struct {
	// ConfirmationLifetime is how long a confirmation allows a node to serve; 9 s by
	// default. A new configuration must be in force on all nodes within 12 s.
	ConfirmationLifetime time.Duration
	// ContactLifetime is how long a contact counts towards a majority; 5 s by default.
	ContactLifetime time.Duration
	// VoterTimeout is the time without contact after which a member no longer counts as
	// a voter; 60 s by default. It only applies while this node is confirmed and in
	// contact with a majority.
	VoterTimeout time.Duration
	// PendingTimeout is the time after its preparation from which a pending revision
	// that is still not the newest counts as refused; 10 s by default.
	PendingTimeout time.Duration
}

// withDefaults returns a copy of t in which zero fields have their defaults.
func (t Timeouts) withDefaults() Timeouts {
	t.ConfirmationLifetime = cmp.Or(t.ConfirmationLifetime, DefaultConfirmationLifetime)
	t.ContactLifetime = cmp.Or(t.ContactLifetime, DefaultContactLifetime)
	t.VoterTimeout = cmp.Or(t.VoterTimeout, DefaultVoterTimeout)
	t.PendingTimeout = cmp.Or(t.PendingTimeout, DefaultPendingTimeout)
	return t
}

// DecisionInput is the state from which a node decides whether it may serve.
type DecisionInput struct {
	Now time.Time
	// HasConfiguration reports whether this node has a configuration.
	HasConfiguration bool
	// Revision is the configuration revision of this node.
	Revision fleet.Revision
	// NewestRevision is the newest revision that a peer reported or that may have been
	// accepted.
	NewestRevision fleet.Revision
	// ConfirmedAt is the latest time at which no revision newer than Revision had been
	// accepted; zero for a new node.
	ConfirmedAt time.Time
	// Self is this node's peer address.
	Self string
	// Voters holds the peer addresses of which a majority is needed, including Self.
	Voters []string
	// Leaving holds the peer addresses of members that announced that they are stopping.
	Leaving map[string]bool
	// LastContact maps peer addresses to the time of the last contact, direct or
	// relayed.
	LastContact map[string]time.Time
}

// Decision is the result of Decide.
type Decision struct {
	// ServeUntil is the time until which the node may serve. It is zero if the node has
	// no configuration, or has neither a confirmation nor a majority that allows it to
	// serve.
	ServeUntil time.Time
	// Majority reports whether this node had contact with a majority of the voters
	// within Timeouts.ContactLifetime.
	Majority bool
	// Confirmed reports whether the last confirmation is still valid.
	Confirmed bool
}

// Decide decides whether a node may serve. A confirmation allows it to serve for
// Timeouts.ConfirmationLifetime. Without a valid confirmation it may serve as long as it
// has contact with a majority and no newer revision was reported: every accepted revision
// reaches a majority, and any two majorities have a member in common.
func Decide(in *DecisionInput, timeouts Timeouts) Decision {
	var d Decision
	oldestContact, ok := majorityContact(in)
	d.Majority = ok && in.Now.Sub(oldestContact) <= timeouts.ContactLifetime
	if !in.HasConfiguration {
		return d
	}
	if !in.ConfirmedAt.IsZero() {
		d.ServeUntil = in.ConfirmedAt.Add(timeouts.ConfirmationLifetime)
		d.Confirmed = !in.Now.After(d.ServeUntil)
	}
	if d.Majority && in.NewestRevision <= in.Revision {
		if until := oldestContact.Add(timeouts.ContactLifetime); until.After(d.ServeUntil) {
			d.ServeUntil = until
		}
	}
	return d
}

// majorityContact returns the oldest of the last contacts in the majority with the most
// recent ones. This node counts as contacted now. ok is false if there was never contact
// with a majority.
func majorityContact(in *DecisionInput) (oldest time.Time, ok bool) {
	contacts := make([]time.Time, 0, len(in.Voters))
	for _, voter := range in.Voters {
		if voter == in.Self {
			contacts = append(contacts, in.Now)
		} else if at, contacted := in.LastContact[voter]; contacted {
			contacts = append(contacts, at)
		}
	}
	needed := len(in.Voters)/2 + 1
	if len(contacts) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[needed-1], true
}

// voterSet is the set of members of which a majority is needed.
type voterSet struct {
	self string
	// lastContact maps the addresses of voters to the time of the last contact, or of
	// the start of this process if there was none.
	lastContact map[string]time.Time
}

// newVoterSet returns a set of this node and the peers in the settings.
func newVoterSet(self string, seeds []string, now time.Time) *voterSet {
	v := &voterSet{self: self, lastContact: map[string]time.Time{self: now}}
	for _, seed := range seeds {
		v.lastContact[seed] = now
	}
	return v
}

// addresses returns the peer addresses of the voters.
func (v *voterSet) addresses() []string {
	addresses := make([]string, 0, len(v.lastContact))
	for address := range v.lastContact {
		addresses = append(addresses, address)
	}
	return addresses
}

// update adds members with recent contact and removes leaving members and those without
// contact for Timeouts.VoterTimeout. It changes nothing unless the node is confirmed.
// Members are only removed while the node has contact with a majority; otherwise an
// isolated node would become its own majority and serve an old revision indefinitely
// once the platform is unreachable too.
func (v *voterSet) update(in *DecisionInput, d Decision, timeouts Timeouts) {
	if !d.Confirmed {
		return
	}
	for address, at := range in.LastContact {
		if !in.Leaving[address] && in.Now.Sub(at) < timeouts.VoterTimeout && at.After(v.lastContact[address]) {
			v.lastContact[address] = at
		}
	}
	if !d.Majority {
		return
	}
	for voter, at := range v.lastContact {
		if voter != v.self && (in.Leaving[voter] || in.Now.Sub(at) >= timeouts.VoterTimeout) {
			delete(v.lastContact, voter)
		}
	}
}
