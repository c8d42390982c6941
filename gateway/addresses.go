package gateway

import (
	"net/http"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxAddresses is the number of addresses in an answer.
const maxAddresses = 3

// Addresses is the answer of GET /v1/addresses.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// TTLMs is how long the answer may be cached, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// Address is one entry instance.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// callerParameter optionally names the caller, for callers that share an IP
// address.
const callerParameter = "caller"

// maxCallerName bounds the callerParameter, in bytes.
const maxCallerName = 128

// addresses answers which entry instances the caller should use.
func (g *Gateway) addresses(r *request) error {
	name := r.ctx.Query(callerParameter)
	if len(name) > maxCallerName {
		return verdict.BadField(callerParameter, "must have at most %d bytes", maxCallerName)
	}
	if name == "" {
		name = r.ctx.RemoteIP()
	}
	members := g.Board.Members.Load()
	if members == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnconfirmed, "no members are known yet")
	}
	serving := make([]fleet.MemberView, 0, len(members.All))
	for _, member := range members.Serving() {
		if member.CallerAddress != "" && (member.Node != members.Self || !g.leaving()) {
			serving = append(serving, member)
		}
	}
	if len(serving) == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "no node takes requests")
	}
	g.extendWrite(r.ctx)
	r.ctx.JSON(http.StatusOK, Addresses{
		Addresses: pick(serving, r.organisation.Name+"\x00"+name),
		TTLMs:     g.config.AddressTTL.Milliseconds(),
	})
	return nil
}

// pick orders members by rendezvous hash of the caller, so that a caller's order
// is stable when nodes come and go while the callers of one organisation spread
// over all nodes, and takes one of each failure domain before a second one of
// any.
func pick(members []fleet.MemberView, caller string) []Address {
	ranked := rendezvous.RankBy(caller, members, func(m fleet.MemberView) string { return m.Node })
	ranked = rendezvous.Spread(ranked, func(m fleet.MemberView) string { return m.FailureDomain })
	chosen := make([]Address, min(len(ranked), maxAddresses))
	for i := range chosen {
		chosen[i] = Address{Address: ranked[i].CallerAddress, FailureDomain: ranked[i].FailureDomain}
	}
	return chosen
}
