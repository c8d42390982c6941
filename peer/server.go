package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/peer/peerpb"
	"github.com/rattanlanding/rattanlanding/peer/peerpb/peerpbconnect"
)

// Server limits.
const (
	// readHeaderTimeout limits the time to read the headers of a request.
	readHeaderTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// compressMinBytes is the size from which a response is compressed; smaller ones
	// gain nothing.
	compressMinBytes = 2048
	// maxStreams limits the concurrent HTTP/2 streams of a connection.
	maxStreams = 64
	// maxRelayedDemandBytes limits the encoded size of other nodes' demand in a full
	// response.
	maxRelayedDemandBytes = 150
)

// service implements the peer protocol for a Node.
type service struct{ node *Node }

var _ peerpbconnect.PeerServiceHandler = service{}

// newServer returns the server of a Node. It speaks HTTP/2 without TLS.
func newServer(n *Node) *http.Server {
	_, handler := peerpbconnect.NewPeerServiceHandler(service{n},
		connect.WithReadMaxBytes(maxExchangeBytes), connect.WithCompressMinBytes(compressMinBytes))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           authenticate(n.config.Key, &refusalLog{logger: n.logger}, handler),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       n.config.FetchTimeout,
		WriteTimeout:      n.config.FetchTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(level.Warn(n.logger)), "", 0),
	}
}

// listen returns the configured listener, or opens one on the listen address.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	if n.config.Listener != nil {
		return n.config.Listener, nil
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", n.config.ListenAddress)
}

// authenticate refuses requests without the right peer key. The keys are hashed so that
// the compared values have equal length.
func authenticate(key string, refusals *refusalLog, next http.Handler) http.Handler {
	expected := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(presented))
		if subtle.ConstantTimeCompare(hash[:], expected[:]) != 1 || !ok {
			refusals.add(r)
			http.Error(w, "peer key missing or wrong", http.StatusUnauthorized)
			return
		}
		// Peers do not use the Date header; omitting it makes every response smaller.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Exchange implements peerpbconnect.PeerServiceHandler.
func (s service) Exchange(
	ctx context.Context, request *connect.Request[peerpb.ExchangeRequest],
) (*connect.Response[peerpb.ExchangeResponse], error) {
	n, received := s.node, time.Now()
	sender := request.Msg.GetSender()
	accepted, newCandidate := n.roster.acceptRequest(sender)
	if !accepted {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("request is older than what is known of its sender"))
	}
	if newCandidate {
		signal(n.candidatesAdded)
	}
	for _, loss := range request.Msg.GetLosses() {
		n.deps.Evidence.RecordLoss(decodeLoss(loss, received))
	}
	n.absorbObservations(sender.GetNode(), request.Msg.GetObservations())
	n.offerAll(sender.GetNode(), sender.GetPeerAddress(), request.Msg.GetDocuments())
	if sender.GetLeaving() {
		n.publishMembers()
	}
	if !n.deps.ConfirmationSource.Ready() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this process is joining"))
	}
	if root := request.Msg.GetGatherRoot(); root != "" {
		n.relay.recordGather(received)
		n.gather(ctx, root)
	}
	return connect.NewResponse(n.buildResponse(request.Msg)), nil
}

// Prepare implements peerpbconnect.PeerServiceHandler.
func (s service) Prepare(
	_ context.Context, request *connect.Request[peerpb.PrepareRequest],
) (*connect.Response[peerpb.PrepareResponse], error) {
	n := s.node
	if accepted, _ := n.roster.acceptRequest(request.Msg.GetSender()); !accepted {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("request is older than what is known of its sender"))
	}
	n.deps.ConfirmationSink.ObservePending(PendingRevision{
		Revision: fleet.Revision(request.Msg.GetRevision()), PreparedAt: time.Now(),
	})
	return connect.NewResponse(&peerpb.PrepareResponse{Responder: n.roster.nextHeartbeat()}), nil
}

// buildResponse builds the response to an exchange request, including the wanted
// records. All ages are computed for one time before encoding; the requester's own
// clock accounts for any later delay.
func (n *Node) buildResponse(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	records := request.GetWantedRecords()
	now := time.Now()
	response := &peerpb.ExchangeResponse{Responder: n.roster.nextHeartbeat()}
	if confirmation, ok := n.deps.ConfirmationSource.Confirmation(); ok {
		response.Confirmation = &peerpb.Confirmation{
			Revision: uint64(confirmation.Revision), AgeMs: encodeAge(confirmation.ConfirmedAt, now),
		}
	}
	if pending, ok := n.deps.ConfirmationSource.Pending(); ok {
		response.Pending = &peerpb.Pending{
			Revision: uint64(pending.Revision), AgeMs: encodeAge(pending.PreparedAt, now),
		}
	}
	members := n.roster.members(now)
	others := excludeNode(members, n.config.Self.Node)
	evidence := n.deps.Evidence.Observations(n.config.EvidenceMaxAge)
	response.Evidence = wantedEvidence(evidence, records, now)
	fullMesh := len(members) <= FullMeshMembers
	full := request.GetWhole() || request.GetGatherRoot() != ""
	limit, percent := 0, 100
	switch {
	case fullMesh:
		evidence = observedBy(n.config.Self.Node, evidence)
	case full:
		others, evidence = n.splitHorizon.filter(request.GetSender().GetPeerAddress(), others, evidence)
	default:
		limit, percent = n.config.GossipResponseBytes, heartbeatPercent
	}
	b := newResponseBuilder(response, limit)
	// Versions are added first: a node that counts this response as a heartbeat must
	// also receive this node's configuration revision, regardless of the number of
	// losses.
	b.addDocuments(n.deps.Documents.Versions(), request.GetKnownDocuments())
	b.addLosses(n.losses.recent(now), now)
	b.addObservations(n.responseObservations)
	own := n.deps.Demand.LocalDemand()
	own.ReceivedAt = now
	b.addDemand(n.config.Self.Node, &own, now)
	b.addHeartbeats(others, percent, now)
	b.addEvidence(evidence, now)
	if !fullMesh {
		if full {
			b.limit = b.size + maxRelayedDemandBytes
		}
		n.demand.addTo(b, n.config.Self.Node, now)
	}
	for _, v := range wantedMembers(members, records) {
		response.Members = append(response.Members,
			encodeMember(&v.Member, v.State == fleet.NodeLeaving, encodeAge(v.HeartbeatAt, now)))
	}
	return response
}

// observedBy returns the evidence from one observer. In a full mesh every observer
// reaches all members in one hop, so passing on the evidence of others would only add
// traffic.
func observedBy(node string, evidence []blackboard.Observation) []blackboard.Observation {
	var own []blackboard.Observation
	for i := range evidence {
		if evidence[i].Observer == node {
			own = append(own, evidence[i])
		}
	}
	return own
}

// excludeNode returns the members except the named node.
func excludeNode(members []fleet.MemberView, node string) []fleet.MemberView {
	others := make([]fleet.MemberView, 0, len(members))
	for _, m := range members {
		if m.Node != node {
			others = append(others, m)
		}
	}
	return others
}

// FetchDocument implements peerpbconnect.PeerServiceHandler.
func (s service) FetchDocument(
	_ context.Context, request *connect.Request[peerpb.FetchDocumentRequest],
) (*connect.Response[peerpb.FetchDocumentResponse], error) {
	document, ok := s.node.deps.Documents.Body(request.Msg.GetName())
	if !ok || document.Version < request.Msg.GetVersion() {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("document version is not held"))
	}
	return connect.NewResponse(&peerpb.FetchDocumentResponse{
		Name: document.Name, Version: document.Version, Body: document.Body,
	}), nil
}
