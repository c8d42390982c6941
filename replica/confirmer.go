package replica

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// DefaultUpdateInterval is the default of ConfirmerConfig.UpdateInterval.
const DefaultUpdateInterval = 100 * time.Millisecond

// acceptRetryAfter is the retry delay sent to an operator whose note was refused.
const acceptRetryAfter = 2 * time.Second

// ConfirmerConfig configures a Confirmer.
type ConfirmerConfig struct {
	// Self is this node's peer address.
	Self string
	// Seeds are the peer addresses in the settings. They are the initial voters.
	Seeds    []string
	Timeouts Timeouts
	// UpdateInterval is the time between periodic decisions; 100 ms by default.
	UpdateInterval time.Duration
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// withDefaults returns a copy of c in which zero fields have their defaults.
func (c ConfirmerConfig) withDefaults() ConfirmerConfig {
	c.Timeouts = c.Timeouts.withDefaults()
	c.UpdateInterval = cmp.Or(c.UpdateInterval, DefaultUpdateInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// PlatformRead is the result of a read of the configuration from the platform.
type PlatformRead struct {
	// PlatformRevision is the revision that the platform returned.
	PlatformRevision fleet.Revision
	// LocalRevision is the revision that this node had when it sent the read.
	LocalRevision fleet.Revision
	// SentAt is the time at which the read was sent.
	SentAt time.Time
}

// Confirmer decides until when this node may serve with its configuration revision and
// publishes the result as board.Confirmation. It is safe for concurrent use.
type Confirmer struct {
	config    ConfirmerConfig
	documents *Documents
	board     *blackboard.Board
	logger    log.Logger

	mu sync.Mutex
	// confirmedAt is the latest time at which this node's revision was confirmed as the
	// newest one.
	confirmedAt time.Time
	// newestRevision is the newest revision in any confirmation.
	newestRevision fleet.Revision
	// platformBehind is true if the read sent at platformReadAt returned an older
	// revision than this node had.
	platformBehind bool
	platformReadAt time.Time
	voters         *voterSet
	// lastContact maps peer addresses to the time of the last contact.
	lastContact map[string]time.Time
	// pending is the newest pending revision.
	pending peer.PendingRevision
	// ready is the result of Ready. It never becomes false again.
	ready bool
	// preparer is set before Run and not changed afterwards.
	preparer Preparer
}

var (
	_ peer.ConfirmationSource = (*Confirmer)(nil)
	_ peer.ConfirmationSink   = (*Confirmer)(nil)
)

// NewConfirmer returns a Confirmer for the configuration revision in documents.
func NewConfirmer(config ConfirmerConfig, documents *Documents, board *blackboard.Board, logger log.Logger) *Confirmer {
	config = config.withDefaults()
	return &Confirmer{
		config: config, documents: documents, board: board, logger: logger,
		voters:      newVoterSet(config.Self, config.Seeds, config.Now()),
		lastContact: map[string]time.Time{},
	}
}

// Run calls Update once per update interval until ctx ends.
func (c *Confirmer) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.config.UpdateInterval)
	defer ticker.Stop()
	for {
		c.Update()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ObserveRead processes a read of the configuration from the platform. The document
// that the read returned must have been published before.
func (c *Confirmer) ObserveRead(read PlatformRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(peer.Confirmation{Revision: read.PlatformRevision, ConfirmedAt: read.SentAt})
	if read.SentAt.After(c.platformReadAt) {
		c.platformReadAt = read.SentAt
		c.setPlatformBehind(read.PlatformRevision < read.LocalRevision, read)
	}
	c.update()
}

// setPlatformBehind records whether the platform returned an older revision than this
// node had. The caller holds the lock.
func (c *Confirmer) setPlatformBehind(behind bool, read PlatformRead) {
	if behind && !c.platformBehind {
		_ = level.Error(c.logger).Log("msg", "platform returned an older configuration revision; keeping the newer one",
			"shown", read.PlatformRevision, "held", read.LocalRevision)
	}
	c.platformBehind = behind
}

// ObserveConfirmation implements peer.ConfirmationSink.
func (c *Confirmer) ObserveConfirmation(_ string, confirmation peer.Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(confirmation)
	c.update()
}

// confirm merges a confirmation. Only a confirmation of this node's own revision
// counts. A confirmation of an older revision is ignored, because it may come from a
// platform that was restored from a backup. The caller holds the lock.
func (c *Confirmer) confirm(confirmation peer.Confirmation) {
	c.newestRevision = max(c.newestRevision, confirmation.Revision)
	revision, ok := c.documents.Revision()
	if ok && confirmation.Revision == revision && confirmation.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmation.ConfirmedAt
	}
}

// Confirmation implements peer.ConfirmationSource.
func (c *Confirmer) Confirmation() (peer.Confirmation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, ok := c.documents.Revision()
	if !ok || c.confirmedAt.IsZero() {
		return peer.Confirmation{}, false
	}
	return peer.Confirmation{Revision: revision, ConfirmedAt: c.confirmedAt}, true
}

// MayAccept implements release.Gate. It returns nil if this node may accept a release
// note, and a NotRun error if it has no contact with a majority or the platform returned
// an older configuration.
func (c *Confirmer) MayAccept() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.platformBehind {
		return verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the platform shows an older configuration than this node holds")
	}
	if !c.update().Majority {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"this node does not hear from a majority of the members").WithRetryAfter(acceptRetryAfter)
	}
	return nil
}

// Update decides whether this node may serve and publishes the result if it changed.
func (c *Confirmer) Update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
}

// update implements Update and returns the decision. The caller holds the lock.
func (c *Confirmer) update() Decision {
	in := c.decisionInput()
	d := Decide(in, c.config.Timeouts)
	c.voters.update(in, d, c.config.Timeouts)
	next := blackboard.Confirmation{
		Revision: in.Revision, ConfirmedAt: c.confirmedAt, ServeUntil: d.ServeUntil,
		Majority: d.Majority, PlatformBehind: c.platformBehind,
	}
	if current := c.board.Confirmation.Load(); current == nil || *current != next {
		c.board.Confirmation.Publish(&next)
	}
	return d
}

// decisionInput returns the input of a decision. The caller holds the lock.
func (c *Confirmer) decisionInput() *DecisionInput {
	// The members are read before the offers, because the versions of a member are
	// offered before its heartbeat is recorded.
	members := c.board.Members.Load()
	now := c.config.Now()
	leaving := make(map[string]bool)
	if members != nil {
		for _, m := range members.All {
			if m.State == fleet.NodeLeaving && m.PeerAddress != c.config.Self {
				leaving[m.PeerAddress] = true
			}
			if m.HeartbeatAt.After(c.lastContact[m.PeerAddress]) {
				c.lastContact[m.PeerAddress] = m.HeartbeatAt
			}
		}
	}
	for address, at := range c.lastContact {
		if now.Sub(at) >= 2*c.config.Timeouts.VoterTimeout {
			delete(c.lastContact, address)
		}
	}
	newestRevision := max(c.newestRevision, c.documents.NewestOffered())
	if c.isPending() {
		newestRevision = max(newestRevision, c.pending.Revision)
	}
	revision, hasConfiguration := c.documents.Revision()
	return &DecisionInput{
		Now: now, HasConfiguration: hasConfiguration, Revision: revision, NewestRevision: newestRevision, ConfirmedAt: c.confirmedAt,
		Self: c.config.Self, Voters: c.voters.addresses(), LastContact: c.lastContact,
		Leaving: leaving,
	}
}
