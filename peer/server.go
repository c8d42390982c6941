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
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 60 * time.Second
	// compressAbove is the size from which a response is compressed; smaller
	// ones gain nothing.
	compressAbove = 2048
	maxStreams    = 64
	// demandBytes bounds what a whole response carries of other nodes' demand.
	demandBytes = 150
)

// service implements the peer protocol on a Node.
type service struct{ node *Node }

var _ peerpbconnect.PeerServiceHandler = service{}

// newServer returns the HTTP/2 cleartext server of a Node.
func newServer(n *Node) *http.Server {
	_, handler := peerpbconnect.NewPeerServiceHandler(service{n},
		connect.WithReadMaxBytes(maxExchangeBytes), connect.WithCompressMinBytes(compressAbove))
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

// listen returns the configured listener, or opens one.
func (n *Node) listen(ctx context.Context) (net.Listener, error) {
	if n.config.Listener != nil {
		return n.config.Listener, nil
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", n.config.ListenAddress)
}

// authenticate refuses requests without the peer key. Hashing first makes the
// compared values equal in length.
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
		// Nobody reads the date, which would add to every response.
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
	accepted, stranger := n.roster.acceptRequest(sender)
	if !accepted {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("request is older than what is known of its sender"))
	}
	if stranger {
		signal(n.strangers)
	}
	for _, loss := range request.Msg.GetLosses() {
		n.ports.Evidence.Lose(decodeLoss(loss, received))
	}
	n.offerAll(sender.GetNode(), sender.GetPeerAddress(), request.Msg.GetDocuments())
	if sender.GetLeaving() {
		n.publishMembers()
	}
	if !n.ports.Confirmed.Ready() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this process is joining"))
	}
	if root := request.Msg.GetGatherRoot(); root != "" {
		n.relay.asked(received)
		n.gather(ctx, root)
	}
	return connect.NewResponse(n.respond(request.Msg)), nil
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
	n.ports.Confirm.Prepared(PendingRevision{
		Revision: fleet.Revision(request.Msg.GetRevision()), PreparedAt: time.Now(),
	})
	return connect.NewResponse(&peerpb.PrepareResponse{Responder: n.roster.heartbeat()}), nil
}

// respond builds a response. Ages are taken at one moment before encoding, so a
// later delay is covered by the requester's own clock. The records asked for are
// added.
func (n *Node) respond(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	records := request.GetWantedRecords()
	now := time.Now()
	response := &peerpb.ExchangeResponse{Responder: n.roster.heartbeat()}
	if statement, ok := n.ports.Confirmed.Confirmation(); ok {
		response.Confirmation = &peerpb.Confirmation{
			Revision: uint64(statement.Revision), AgeMs: encodeAge(statement.ConfirmedAt, now),
		}
	}
	if pending, ok := n.ports.Confirmed.Pending(); ok {
		response.Pending = &peerpb.Pending{
			Revision: uint64(pending.Revision), AgeMs: encodeAge(pending.PreparedAt, now),
		}
	}
	members := n.roster.members(now)
	others := withoutNode(members, n.config.Self.Node)
	evidence := n.ports.Evidence.Observations(n.config.EvidenceMaxAge)
	response.Evidence = wantedEvidence(evidence, records, now)
	mesh := len(members) <= FullMeshMembers
	whole := request.GetWhole() || request.GetGatherRoot() != ""
	limit, share := 0, 100
	switch {
	case mesh:
		evidence = observedBy(n.config.Self.Node, evidence)
	case whole:
		others, evidence = n.echo.filter(request.GetSender().GetPeerAddress(), others, evidence)
	default:
		limit, share = n.config.DigestBytes, heartbeatShare
	}
	d := newDigest(response, limit)
	// Versions come first: whoever counts this response as a heartbeat must know
	// the configuration revision held here, however many losses there are.
	d.documents(n.ports.Documents.Versions(), request.GetKnownDocuments())
	d.losses(n.losses.recent(now), now)
	own := n.ports.Demand.LocalDemand()
	own.HeardAt = now
	d.demand(n.config.Self.Node, &own, now)
	d.heartbeats(others, share, now)
	d.evidence(evidence, now)
	if !mesh {
		if whole {
			d.limit = d.size + demandBytes
		}
		n.demand.addTo(d, n.config.Self.Node, now)
	}
	for _, v := range wanted(members, records) {
		response.Members = append(response.Members,
			encodeMember(&v.Member, v.State == fleet.NodeLeaving, encodeAge(v.HeardAt, now)))
	}
	return response
}

// observedBy keeps evidence from one observer. In a full mesh every observer
// reaches everyone in one hop, so passing on the evidence of others only adds
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

// withoutNode returns members except the named one.
func withoutNode(members []fleet.MemberView, node string) []fleet.MemberView {
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
	document, ok := s.node.ports.Documents.Body(request.Msg.GetName())
	if !ok || document.Version < request.Msg.GetVersion() {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("document version is not held"))
	}
	return connect.NewResponse(&peerpb.FetchDocumentResponse{
		Name: document.Name, Version: document.Version, Body: document.Body,
	}), nil
}
