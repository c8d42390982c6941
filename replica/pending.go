package replica

import (
	"context"
	"slices"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// DefaultPendingFor is the default of Rules.PendingFor. It exceeds the time in
// which an accepting node gives up its write (release.DefaultUpdateTimeout, 2 s)
// with a margin for a write that the platform delays.
const DefaultPendingFor = 10 * time.Second

// Preparer tells the members that a revision is about to be written and returns
// the peer addresses of those that took note.
type Preparer interface {
	Prepare(ctx context.Context, revision fleet.Revision) []string
}

// SetPreparer sets the way to the members. It is called before Run.
func (c *Confirmer) SetPreparer(p Preparer) { c.preparer = p }

// Prepare implements release.Gate. Members that took note of a pending revision
// do not go on serving an older one on the strength of a majority alone, and any
// serving majority contains one of them. So the revision reaches or stops every
// node, even if this process dies and the platform fails right after the write.
func (c *Confirmer) Prepare(ctx context.Context, revision fleet.Revision) error {
	if err := c.MayAccept(); err != nil {
		return err
	}
	c.ObservePending(peer.PendingRevision{Revision: revision, PreparedAt: c.config.Now()})
	prepared := []string{c.config.Self}
	if c.preparer != nil {
		prepared = append(prepared, c.preparer.Prepare(ctx, revision)...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := c.electorate.voters()
	count := 0
	for _, voter := range voters {
		if slices.Contains(prepared, voter) {
			count++
		}
	}
	if count < len(voters)/2+1 {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"only %d of %d members took note of the new revision", count, len(voters)).WithRetryAfter(retryAccept)
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

// isPending tells whether the pending revision may have been accepted without
// being held here. It has not been accepted when an older revision was still the
// newest PendingFor after the preparation. The caller holds the lock.
func (c *Confirmer) isPending() bool {
	revision, _ := c.documents.Revision()
	if c.pending.Revision <= revision {
		return false
	}
	return !c.confirmedAt.After(c.pending.PreparedAt.Add(c.config.Rules.PendingFor))
}

// Ready implements peer.ConfirmationSource. A process is ready once its
// revision was confirmed, or once it heard a majority without counting itself:
// before, it does not know what the process before it had taken note of.
func (c *Confirmer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		c.ready = !c.confirmedAt.IsZero() || c.heardMajorityOfOthers()
	}
	return c.ready
}

// heardMajorityOfOthers tells whether enough other members for a majority were
// heard lately; the caller holds the lock.
func (c *Confirmer) heardMajorityOfOthers() bool {
	k := c.knowledge()
	heard := 0
	for _, voter := range k.Electorate {
		if at, ok := k.HeardAt[voter]; ok && voter != k.Self && k.Now.Sub(at) <= c.config.Rules.HeardWithin {
			heard++
		}
	}
	return heard >= len(k.Electorate)/2+1
}
