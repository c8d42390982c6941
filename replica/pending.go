package replica

import (
	"context"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// DefaultPendingTimeout is the default of Timeouts.PendingTimeout. It exceeds the
// timeout of the accepting node's write (release.DefaultUpdateTimeout, 2 s) by a margin
// for a write that is delayed in the platform.
const DefaultPendingTimeout = 10 * time.Second

// Preparer announces pending revisions to the members.
type Preparer interface {
	// Prepare announces that revision is about to be written and returns the peer
	// addresses of the members that acknowledged it.
	Prepare(ctx context.Context, revision fleet.Revision) []string
}

// SetPreparer sets the Preparer that Prepare uses. It must be called before Run.
func (c *Confirmer) SetPreparer(p Preparer) { c.preparer = p }

// Prepare implements release.Gate. A member that has acknowledged a pending revision
// does not continue to serve an older one because of a majority alone, and every
// majority contains such a member. So every node either receives the revision or stops
// serving, even if this process dies and the platform fails right after the write.
func (c *Confirmer) Prepare(ctx context.Context, revision fleet.Revision) error {
	if err := c.MayAccept(); err != nil {
		return err
	}
	c.ObservePending(peer.PendingRevision{Revision: revision, PreparedAt: c.config.Now()})
	acknowledged := []string{c.config.Self}
	if c.preparer != nil {
		acknowledged = append(acknowledged, c.preparer.Prepare(ctx, revision)...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := c.voters.addresses()
	count := 0
	for _, voter := range voters {
		if slices.Contains(acknowledged, voter) {
			count++
		}
	}
	if count < len(voters)/2+1 {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"only %d of %d members took note of the new revision", count, len(voters)).WithRetryAfter(acceptRetryAfter)
	}
	return nil
}

// ObservePending implements peer.ConfirmationSink.
func (c *Confirmer) ObservePending(pending peer.PendingRevision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending.Revision < c.pending.Revision {
		return
	}
	if pending.Revision > c.pending.Revision || pending.PreparedAt.After(c.pending.PreparedAt) {
		c.pending = pending
	}
	c.update()
}

// Pending implements peer.ConfirmationSource.
func (c *Confirmer) Pending() (peer.PendingRevision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending, c.isPending()
}

// isPending reports whether the pending revision may have been accepted although this
// node has an older one. It was not accepted if an older revision was still the newest
// one more than PendingTimeout after the preparation. The caller holds the lock.
func (c *Confirmer) isPending() bool {
	revision, _ := c.documents.Revision()
	if c.pending.Revision <= revision {
		return false
	}
	return !c.confirmedAt.After(c.pending.PreparedAt.Add(c.config.Timeouts.PendingTimeout))
}

// Ready implements peer.ConfirmationSource. A process is ready once its revision was
// confirmed, or once it has had contact with a majority that does not include itself.
// Before that, it may lack a pending revision that its predecessor acknowledged.
func (c *Confirmer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		c.ready = !c.confirmedAt.IsZero() || c.hasMajorityWithoutSelf()
	}
	return c.ready
}

// hasMajorityWithoutSelf reports whether this node has had contact within
// ContactLifetime with enough other voters for a majority. The caller holds the lock.
func (c *Confirmer) hasMajorityWithoutSelf() bool {
	in := c.decisionInput()
	contacted := 0
	for _, voter := range in.Voters {
		if at, ok := in.LastContact[voter]; ok && voter != in.Self && in.Now.Sub(at) <= c.config.Timeouts.ContactLifetime {
			contacted++
		}
	}
	return contacted >= len(in.Voters)/2+1
}
