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

// retryAccept is the advice to an operator whose note was refused.
const retryAccept = 2 * time.Second

// ConfirmerConfig describes a Confirmer.
type ConfirmerConfig struct {
	// Self is this node's peer address.
	Self string
	// Seeds are the peer addresses in the settings.
	Seeds []string
	Rules Rules
	// UpdateInterval is the time between decisions; 100 ms by default.
	UpdateInterval time.Duration
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set.
func (c ConfirmerConfig) withDefaults() ConfirmerConfig {
	c.Rules = c.Rules.withDefaults()
	c.UpdateInterval = cmp.Or(c.UpdateInterval, DefaultUpdateInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// PlatformRead is the outcome of a read of the configuration at the platform.
type PlatformRead struct {
	// Shown is the revision that the platform showed.
	Shown fleet.Revision
	// HeldBefore is the revision held when the read was sent.
	HeldBefore fleet.Revision
	// SentAt is the moment the read was sent.
	SentAt time.Time
}

// Confirmer publishes board.Confirmation. It is safe for concurrent use.
type Confirmer struct {
	config    ConfirmerConfig
	documents *Documents
	board     *blackboard.Board
	logger    log.Logger

	mu          sync.Mutex
	confirmedAt time.Time
	newest      fleet.Revision
	behind      bool
	behindAsOf  time.Time
	electorate  *electorate
	heardAt     map[string]time.Time
	pending     peer.PendingRevision
	ready       bool
	// preparer is set before Run and not changed.
	preparer Preparer
}

var (
	_ peer.ConfirmationSource = (*Confirmer)(nil)
	_ peer.ConfirmationSink   = (*Confirmer)(nil)
)

// NewConfirmer returns a Confirmer of the revision that documents holds.
func NewConfirmer(config ConfirmerConfig, documents *Documents, board *blackboard.Board, logger log.Logger) *Confirmer {
	config = config.withDefaults()
	return &Confirmer{
		config: config, documents: documents, board: board, logger: logger,
		electorate: newElectorate(config.Self, config.Seeds, config.Now()),
		heardAt:    map[string]time.Time{},
	}
}

// Run decides at every interval until ctx ends.
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

// Read takes in a read of the configuration at the platform. The document that
// the read returned must have been published before.
func (c *Confirmer) Read(read PlatformRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(peer.Confirmation{Revision: read.Shown, ConfirmedAt: read.SentAt})
	if read.SentAt.After(c.behindAsOf) {
		c.behindAsOf = read.SentAt
		c.setBehind(read.Shown < read.HeldBefore, read)
	}
	c.update()
}

// setBehind records whether the platform shows an older revision; the caller
// holds the lock.
func (c *Confirmer) setBehind(behind bool, read PlatformRead) {
	if behind && !c.behind {
		_ = level.Error(c.logger).Log("msg", "platform shows an older configuration; keeping the newer one",
			"shown", read.Shown, "held", read.HeldBefore)
	}
	c.behind = behind
}

// ObserveConfirmation implements peer.ConfirmationSink.
func (c *Confirmer) ObserveConfirmation(_ string, statement peer.Confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(statement)
	c.update()
}

// confirm merges a statement; the caller holds the lock. A statement about the
// revision held counts. An older revision cannot confirm a newer one, because
// it may come from a platform restored from a backup.
func (c *Confirmer) confirm(statement peer.Confirmation) {
	c.newest = max(c.newest, statement.Revision)
	revision, ok := c.documents.Revision()
	if ok && statement.Revision == revision && statement.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = statement.ConfirmedAt
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

// MayAccept returns nil if this node may accept a release note, or a NotRun
// error: it hears no majority, or the platform shows an older configuration.
func (c *Confirmer) MayAccept() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behind {
		return verdict.New(verdict.NotRun, verdict.ReasonPlatform,
			"the platform shows an older configuration than this node holds")
	}
	if !c.update().Majority {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed,
			"this node does not hear from a majority of the members").WithRetryAfter(retryAccept)
	}
	return nil
}

// Update decides and publishes the result.
func (c *Confirmer) Update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update()
}

// update decides and publishes if the result changed; the caller holds the lock.
func (c *Confirmer) update() Judgement {
	k := c.knowledge()
	j := Judge(k, c.config.Rules)
	c.electorate.update(k, j, c.config.Rules)
	next := blackboard.Confirmation{
		Revision: k.Revision, ConfirmedAt: c.confirmedAt, ServeUntil: j.ServeUntil,
		Majority: j.Majority, PlatformBehind: c.behind,
	}
	if current := c.board.Confirmation.Load(); current == nil || *current != next {
		c.board.Confirmation.Publish(&next)
	}
	return j
}

// knowledge gathers the inputs of a decision; the caller holds the lock.
func (c *Confirmer) knowledge() *Knowledge {
	// The members are read before the offers: a heartbeat that counts here had
	// its versions offered before.
	members := c.board.Members.Load()
	now := c.config.Now()
	left := make(map[string]bool)
	if members != nil {
		for _, m := range members.All {
			if m.State == fleet.NodeLeaving && m.PeerAddress != c.config.Self {
				left[m.PeerAddress] = true
			}
			if m.HeardAt.After(c.heardAt[m.PeerAddress]) {
				c.heardAt[m.PeerAddress] = m.HeardAt
			}
		}
	}
	for address, at := range c.heardAt {
		if now.Sub(at) >= 2*c.config.Rules.ForgetAfter {
			delete(c.heardAt, address)
		}
	}
	newest := max(c.newest, c.documents.NewestOffered())
	if c.isPending() {
		newest = max(newest, c.pending.Revision)
	}
	revision, held := c.documents.Revision()
	return &Knowledge{
		Now: now, Held: held, Revision: revision, Newest: newest, ConfirmedAt: c.confirmedAt,
		Self: c.config.Self, Electorate: c.electorate.voters(), HeardAt: c.heardAt,
		Left: left,
	}
}
