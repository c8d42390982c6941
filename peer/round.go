package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// callState tracks the calls to one address: at most one is in progress, and
// again asks for one more after it.
type callState struct{ again bool }

// rounds exchanges once per interval.
func (n *Node) rounds(ctx context.Context) {
	ticker := time.NewTicker(n.config.ExchangeInterval)
	defer ticker.Stop()
	for {
		n.publishMembers()
		n.publishDemand()
		for _, address := range n.roundTargets() {
			n.start(ctx, address, false)
		}
		if len(n.others())+1 > FullMeshMembers && n.actsAsRoot(time.Now()) {
			n.startRound(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// extraRounds exchanges with all members when something changed.
func (n *Node) extraRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.config.BatchDelay):
		}
		// A change that arrives from here on triggers the next extra round.
		select {
		case <-n.urgent:
		default:
		}
		for _, m := range n.others() {
			n.start(ctx, m.PeerAddress, true)
		}
	}
}

// contactStrangers asks nodes that sent a request and are no members yet. Only a
// response proves that a node is alive and reachable.
func (n *Node) contactStrangers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.strangers:
		}
		for _, address := range n.roster.takeCandidates() {
			n.start(ctx, address, false)
		}
	}
}

// others returns the members except this node.
func (n *Node) others() []fleet.MemberView {
	return withoutNode(n.board.Members.Load().All, n.config.Self.Node)
}

// roundTargets returns the addresses to ask in a periodic round: sampled members
// and seeds at which no member is known. In large systems one such seed a round
// is enough to heal a split.
func (n *Node) roundTargets() []string {
	others := n.others()
	inUse := map[string]bool{n.config.Self.PeerAddress: true}
	for _, m := range others {
		inUse[m.PeerAddress] = true
	}
	var targets, unknown []string
	for _, m := range samplerFor(len(others)+1, n.config.GossipPeers).Sample(others) {
		targets = append(targets, m.PeerAddress)
	}
	for _, seed := range n.config.Seeds {
		if !inUse[seed] {
			unknown = append(unknown, seed)
			inUse[seed] = true
		}
	}
	if len(others)+1 > FullMeshMembers && len(unknown) > 1 {
		unknown = []string{unknown[rand.IntN(len(unknown))]}
	}
	n.dialer.forget(inUse)
	n.told.forget(inUse)
	n.echo.forget(inUse)
	n.reports.forget(time.Now())
	return append(targets, unknown...)
}

// start exchanges with an address in the background. While a call is in
// progress, an urgent one follows it and others are left out.
func (n *Node) start(ctx context.Context, address string, urgent bool) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	if call, busy := n.calls[address]; busy {
		call.again = call.again || urgent
		return
	}
	n.calls[address] = &callState{}
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		for again := true; again; again = n.finish(ctx, address) {
			// A node that no parent asks is new or cut off.
			detached := n.relay.detached(2 * n.config.ExchangeInterval)
			if err := n.exchange(ctx, address, purpose{whole: detached}); err != nil {
				n.logFailure(address, err)
			}
		}
	}()
}

// finish ends a call and reports whether another one is wanted.
func (n *Node) finish(ctx context.Context, address string) bool {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	call := n.calls[address]
	if call.again && ctx.Err() == nil {
		call.again = false
		return true
	}
	delete(n.calls, address)
	return false
}

// purpose is what a request asks for beyond a bounded digest.
type purpose struct {
	whole      bool
	gatherRoot string
	records    []uint64
}

// exchange performs one exchange, and a second one if the first one named unknown
// records.
func (n *Node) exchange(ctx context.Context, address string, p purpose) error {
	unknown, err := n.ask(ctx, address, p)
	if err == nil && len(unknown) > 0 {
		_, err = n.ask(ctx, address, purpose{whole: p.whole, records: unknown})
	}
	return err
}

// ask sends one request and returns the unknown records in its response. Requests
// to one address follow each other, because an overtaken one is refused.
func (n *Node) ask(ctx context.Context, address string, p purpose) (unknown []uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	release, err := n.dialer.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer release()
	sentAt := time.Now()
	request := n.request(sentAt)
	request.WantedRecords, request.GatherRoot, request.Whole = p.records, p.gatherRoot, p.whole
	versions := n.told.shorten(address, request)
	response, err := n.dialer.client(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if err := n.told.complete(address, versions, request, response.Msg); err != nil {
		return nil, err
	}
	if p.whole || p.gatherRoot != "" {
		n.echo.note(address, response.Msg, sentAt)
	}
	return n.absorb(response.Msg, address, sentAt), nil
}

// request builds what this node tells in a request.
func (n *Node) request(now time.Time) *peerpb.ExchangeRequest {
	request := &peerpb.ExchangeRequest{Sender: shortSender(n.roster.heartbeat())}
	for _, v := range n.ports.Documents.Versions() {
		request.Documents = append(request.Documents, encodeVersion(v))
	}
	for _, loss := range n.losses.recent(now) {
		request.Losses = append(request.Losses, encodeLoss(&loss, now))
	}
	return request
}

// absorb takes in a response to a request sent at sentAt and returns the unknown
// records in it.
func (n *Node) absorb(response *peerpb.ExchangeResponse, address string, sentAt time.Time) []uint64 {
	received := time.Now()
	responder := response.GetResponder()
	// Versions are offered before the heartbeat counts, so that whoever counts
	// the responder as heard already knows what it holds. They never go back,
	// so a late response does no harm here.
	n.offerAll(responder.GetNode(), address, response.GetDocuments())
	if p := response.GetPending(); p != nil {
		// The age is counted back from the receipt: too young keeps a pending
		// revision for longer, which is safe.
		n.ports.Confirm.Prepared(PendingRevision{
			Revision:   fleet.Revision(p.GetRevision()),
			PreparedAt: received.Add(-decodeAge(p.GetAgeMs())),
		})
	}
	if !n.roster.acceptResponse(responder, sentAt) {
		return nil
	}
	discovered := false
	for _, m := range response.GetMembers() {
		discovered = n.roster.relay(m, sentAt, received) || discovered
	}
	unknown := n.roster.relayHeartbeats(response.GetHeartbeats(), sentAt, received)
	for _, loss := range response.GetLosses() {
		n.ports.Evidence.Lose(decodeLoss(loss, received))
	}
	unknown = append(unknown, n.absorbEvidence(response, sentAt, received)...)
	for _, d := range response.GetDemand() {
		if d.GetNode() != n.config.Self.Node {
			n.demand.merge(d.GetNode(), decodeDemand(d, sentAt))
		}
	}
	if c := response.GetConfirmation(); c != nil {
		n.ports.Confirm.Confirmed(responder.GetNode(), ConfirmationStatement{
			Revision:    fleet.Revision(c.GetRevision()),
			ConfirmedAt: sentAt.Add(-decodeAge(c.GetAgeMs())),
		})
	}
	n.publishMembers()
	if discovered && len(n.others())+1 <= FullMeshMembers {
		n.trigger()
	}
	return unknown
}

// absorbEvidence takes in the evidence of a response and returns the unknown
// records in it.
func (n *Node) absorbEvidence(response *peerpb.ExchangeResponse, sentAt, received time.Time) []uint64 {
	responder := response.GetResponder().GetNode()
	evidence, unknown := n.reports.expand(response.GetEvidenceDigest(), responder, sentAt, received)
	for _, e := range response.GetEvidence() {
		o := decodeEvidence(e, sentAt)
		n.reports.learn(o.Report, received)
		evidence = append(evidence, o)
	}
	for _, o := range evidence {
		if received.Sub(o.ObservedAt) <= n.config.EvidenceMaxAge {
			n.ports.Evidence.Observe(o)
		}
	}
	return unknown
}

// shortSender leaves out of a request's sender what its receiver does not use.
func shortSender(m *peerpb.Member) *peerpb.Member {
	m.Region, m.FailureDomain, m.CallerAddress = "", "", ""
	return m
}

// offerAll passes on the versions that a peer stated.
func (n *Node) offerAll(node, address string, versions []*peerpb.DocumentVersion) {
	for _, v := range versions {
		want := DocumentVersion{Name: v.GetName(), Version: v.GetVersion()}
		n.ports.Documents.Offer(Offer{
			DocumentVersion: want, Peer: node,
			Fetch: func(ctx context.Context) (Document, error) { return n.fetchFrom(ctx, address, want) },
		})
	}
}
