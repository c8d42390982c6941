package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

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
		Handler:           authenticate(n.config.Key, handler),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       n.config.FetchTimeout,
		WriteTimeout:      n.config.FetchTimeout,
		IdleTimeout:       idleTimeout,
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
func authenticate(key string, next http.Handler) http.Handler {
	expected := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(presented))
		if subtle.ConstantTimeCompare(hash[:], expected[:]) != 1 || !ok {
			http.Error(w, "peer key missing or wrong", http.StatusUnauthorized)
			return
		}
		// Nobody reads the date, which compresses badly because it changes.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Exchange implements peerpbconnect.PeerServiceHandler.
func (s service) Exchange(
	_ context.Context, request *connect.Request[peerpb.ExchangeRequest],
) (*connect.Response[peerpb.ExchangeResponse], error) {
	n, received := s.node, time.Now()
	sender := request.Msg.GetSender()
	accepted, stranger := n.roster.acceptRequest(sender)
	if !accepted {
		return nil, connect.NewError(connect.CodeFailedPrecondition,
			errors.New("request is older than what is known of its sender"))
	}
	if stranger {
		n.triggerCandidates()
	}
	for _, loss := range request.Msg.GetLosses() {
		n.ports.Evidence.Lose(decodeLoss(loss, received))
	}
	n.offerAll(sender.GetNode(), sender.GetPeerAddress(), request.Msg.GetDocuments())
	if sender.GetLeaving() {
		n.publishMembers()
	}
	response, err := n.respond(request.Msg.GetKnownHash())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(response), nil
}

// respond builds a response for a requester that holds the stable part with the
// hash known. Ages are taken at one moment before encoding, so a
// later delay is covered by the requester's own clock.
func (n *Node) respond(known uint64) (*peerpb.ExchangeResponse, error) {
	now := time.Now()
	response := &peerpb.ExchangeResponse{Responder: n.roster.heartbeat()}
	if statement, ok := n.ports.Confirmed.Confirmation(); ok {
		response.Confirmation = &peerpb.Confirmation{
			Revision: uint64(statement.Revision), AgeMs: encodeAge(statement.ConfirmedAt, now),
		}
	}
	members := n.roster.members(now)
	bounded := len(members) > FullMeshMembers
	limit := 0
	if bounded {
		limit = n.config.DigestBytes
	}
	d := newDigest(response, limit)
	d.losses(n.losses.recent(now), now)
	d.documents(n.ports.Documents.Versions())
	own := n.ports.Demand.LocalDemand()
	own.HeardAt = now
	d.demand(n.config.Self.Node, &own, now)
	evidence := n.ports.Evidence.Observations(n.config.EvidenceMaxAge)
	if !bounded {
		evidence = n.own.choose(n.config.Self.Node, evidence, now)
	}
	d.relayed(withoutNode(members, n.config.Self.Node), evidence, now)
	if bounded {
		n.demand.addTo(d, n.config.Self.Node, now)
		return response, nil
	}
	return response, shorten(response, known)
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
