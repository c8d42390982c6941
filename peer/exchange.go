package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// exchangeState is the state of the exchange in flight with one address. If repeat is
// true, another exchange follows it.
type exchangeState struct{ repeat bool }

// runRounds starts a round of exchanges once per interval until ctx ends.
func (n *Node) runRounds(ctx context.Context) {
	ticker := time.NewTicker(n.config.ExchangeInterval)
	defer ticker.Stop()
	for {
		n.publishMembers()
		n.publishDemand()
		for _, address := range n.roundTargets() {
			n.startExchange(ctx, address, false)
		}
		if len(n.otherMembers())+1 > FullMeshMembers && n.actsAsRoot(time.Now()) {
			n.startRelayRound(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runExtraRounds starts an extra round of exchanges with all members after changes,
// until ctx ends. Changes within the batch delay share a round.
func (n *Node) runExtraRounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.extraRound:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.config.BatchDelay):
		}
		// A change after this point triggers the next extra round.
		select {
		case <-n.extraRound:
		default:
		}
		for _, m := range n.otherMembers() {
			n.startExchange(ctx, m.PeerAddress, true)
		}
	}
}

// contactCandidates polls nodes that sent a request but are not members yet, until ctx
// ends. Only a response proves that a node is alive and reachable.
func (n *Node) contactCandidates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.candidatesAdded:
		}
		for _, address := range n.roster.takeCandidates() {
			n.startExchange(ctx, address, false)
		}
	}
}

// otherMembers returns the members except this node.
func (n *Node) otherMembers() []fleet.MemberView {
	return excludeNode(n.board.Members.Load().All, n.config.Self.Node)
}

// roundTargets returns the addresses to poll in a periodic round: the sampled members,
// and the seeds that are not the address of a known member. Above FullMeshMembers, one
// such seed per round is enough to heal a split. It also drops the state of addresses
// that are no longer in use.
func (n *Node) roundTargets() []string {
	others := n.otherMembers()
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
	n.clients.prune(inUse)
	n.versions.prune(inUse)
	n.splitHorizon.prune(inUse)
	n.reports.evictExpired(time.Now())
	return append(targets, unknown...)
}

// startExchange performs an exchange with an address in the background. While one is
// already in flight, an urgent exchange is performed after it and others are skipped.
func (n *Node) startExchange(ctx context.Context, address string, urgent bool) {
	n.exchangesMu.Lock()
	defer n.exchangesMu.Unlock()
	if state, inFlight := n.exchanges[address]; inFlight {
		state.repeat = state.repeat || urgent
		return
	}
	n.exchanges[address] = &exchangeState{}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		for repeat := true; repeat; repeat = n.finishExchange(ctx, address) {
			// A node without contact to the relay tree is new or partitioned, so it
			// requests the full state.
			detached := n.relay.detached(2 * n.config.ExchangeInterval)
			if err := n.exchange(ctx, address, exchangeOptions{full: detached}); err != nil {
				n.logFailure(address, err)
			}
		}
	}()
}

// finishExchange ends an exchange and reports whether another one must follow.
func (n *Node) finishExchange(ctx context.Context, address string) bool {
	n.exchangesMu.Lock()
	defer n.exchangesMu.Unlock()
	state := n.exchanges[address]
	if state.repeat && ctx.Err() == nil {
		state.repeat = false
		return true
	}
	delete(n.exchanges, address)
	return false
}

// exchangeOptions state what a request asks for in addition to a bounded response.
type exchangeOptions struct {
	// full requests the full state, without a size limit.
	full bool
	// gatherRoot, if set, requests that the peer first gathers from its children in the
	// relay tree with this root. It implies full.
	gatherRoot string
	// records are the hashes of the records that the response must include.
	records []uint64
}

// exchange performs an exchange with an address, and a second one if the first response
// refers to unknown records.
func (n *Node) exchange(ctx context.Context, address string, options exchangeOptions) error {
	unknown, err := n.exchangeOnce(ctx, address, options)
	if err == nil && len(unknown) > 0 {
		_, err = n.exchangeOnce(ctx, address, exchangeOptions{full: options.full, records: unknown})
	}
	return err
}

// exchangeOnce sends one request and returns the unknown records in its response.
// Requests to one address are sent one at a time, because a request that is overtaken
// by another one is refused.
func (n *Node) exchangeOnce(ctx context.Context, address string, options exchangeOptions) (unknown []uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	release, err := n.clients.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer release()
	sentAt := time.Now()
	request := n.buildRequest(sentAt)
	request.WantedRecords, request.GatherRoot, request.Whole = options.records, options.gatherRoot, options.full
	documentsHash := n.versions.omitAcknowledged(address, request)
	response, err := n.clients.client(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if err := n.versions.restoreOmitted(address, documentsHash, request, response.Msg); err != nil {
		return nil, err
	}
	if options.full || options.gatherRoot != "" {
		n.splitHorizon.record(address, response.Msg, sentAt)
	}
	return n.mergeResponse(response.Msg, address, sentAt), nil
}

// buildRequest returns an exchange request with this node's heartbeat, document versions,
// recent losses and observations.
func (n *Node) buildRequest(now time.Time) *peerpb.ExchangeRequest {
	request := &peerpb.ExchangeRequest{Sender: trimSender(n.roster.nextHeartbeat())}
	for _, v := range n.deps.Documents.Versions() {
		request.Documents = append(request.Documents, encodeVersion(v))
	}
	for _, loss := range n.losses.recent(now) {
		request.Losses = append(request.Losses, encodeLoss(&loss, now))
	}
	request.Observations = n.requestObservations()
	return request
}

// mergeResponse merges the response to a request sent at sentAt and returns the unknown
// records in it.
func (n *Node) mergeResponse(response *peerpb.ExchangeResponse, address string, sentAt time.Time) []uint64 {
	received := time.Now()
	responder := response.GetResponder()
	// Versions are offered before the heartbeat is recorded, so that a component that
	// counts the responder as alive has already received its versions. Versions never
	// decrease, so a late response does no harm here.
	n.offerAll(responder.GetNode(), address, response.GetDocuments())
	if p := response.GetPending(); p != nil {
		// The age is subtracted from the time of receipt. A pending revision that looks
		// too young is kept longer, which is safe.
		n.deps.ConfirmationSink.ObservePending(PendingRevision{
			Revision:   fleet.Revision(p.GetRevision()),
			PreparedAt: received.Add(-decodeAge(p.GetAgeMs())),
		})
	}
	if !n.roster.acceptResponse(responder, sentAt) {
		return nil
	}
	discovered := false
	for _, m := range response.GetMembers() {
		discovered = n.roster.mergeRelayedMember(m, sentAt, received) || discovered
	}
	unknown := n.roster.mergeRelayedHeartbeats(response.GetHeartbeats(), sentAt, received)
	for _, loss := range response.GetLosses() {
		n.deps.Evidence.RecordLoss(decodeLoss(loss, received))
	}
	n.absorbObservations(responder.GetNode(), response.GetObservations())
	unknown = append(unknown, n.mergeEvidence(response, sentAt, received)...)
	for _, d := range response.GetDemand() {
		if d.GetNode() != n.config.Self.Node {
			n.demand.merge(d.GetNode(), decodeDemand(d, sentAt))
		}
	}
	if c := response.GetConfirmation(); c != nil {
		n.deps.ConfirmationSink.ObserveConfirmation(responder.GetNode(), Confirmation{
			Revision:    fleet.Revision(c.GetRevision()),
			ConfirmedAt: sentAt.Add(-decodeAge(c.GetAgeMs())),
		})
	}
	n.publishMembers()
	if discovered && len(n.otherMembers())+1 <= FullMeshMembers {
		n.triggerExtraRound()
	}
	return unknown
}

// mergeEvidence merges the evidence in a response and returns the unknown records in
// it.
func (n *Node) mergeEvidence(response *peerpb.ExchangeResponse, sentAt, received time.Time) []uint64 {
	responder := response.GetResponder().GetNode()
	evidence, unknown := n.reports.expand(response.GetEvidenceDigest(), responder, sentAt, received)
	for _, e := range response.GetEvidence() {
		o := decodeEvidence(e, sentAt)
		n.reports.add(o.Report, received)
		evidence = append(evidence, o)
	}
	for _, o := range evidence {
		if received.Sub(o.ObservedAt) <= n.config.EvidenceMaxAge {
			n.deps.Evidence.Observe(o)
		}
	}
	return unknown
}

// trimSender clears the fields of a request's sender that its receiver does not use.
func trimSender(m *peerpb.Member) *peerpb.Member {
	m.Region, m.FailureDomain, m.CallerAddress = "", "", ""
	return m
}

// offerAll offers the document versions that a peer reported.
func (n *Node) offerAll(node, address string, versions []*peerpb.DocumentVersion) {
	for _, v := range versions {
		want := DocumentVersion{Name: v.GetName(), Version: v.GetVersion()}
		n.deps.Documents.Offer(Offer{
			DocumentVersion: want, Peer: node,
			Fetch: func(ctx context.Context) (Document, error) { return n.fetchFrom(ctx, address, want) },
		})
	}
}
