package gateway

import (
	"net/http"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/rendezvous"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxAddresses is the largest number of addresses in a response.
const maxAddresses = 3

// Addresses is the body of the response to GET /v1/addresses.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	// TTLMs is how long the caller may cache the addresses, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// Address is one entry instance.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// callerParameter is the optional query parameter with the caller's name. It
// distinguishes callers that share an IP address.
const callerParameter = "caller"

// maxCallerName is the largest length of callerParameter, in bytes.
const maxCallerName = 128

// handleAddresses serves GET /v1/addresses: the entry instances that the caller should
// use, best first.
func (g *Gateway) handleAddresses(r *request) error {
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
	g.extendWriteDeadline(r.ctx)
	r.ctx.JSON(http.StatusOK, Addresses{
		Addresses: selectAddresses(serving, r.organisation.Name+"\x00"+name),
		TTLMs:     g.config.AddressTTL.Milliseconds(),
	})
	return nil
}

// selectAddresses returns the addresses of at most maxAddresses members, ranked by
// rendezvous hash of the caller. The ranking of one caller is stable when nodes join
// or leave, and the callers of one organisation spread over all nodes. One member of
// each failure domain comes before a second member of any.
func selectAddresses(members []fleet.MemberView, caller string) []Address {
	ranked := rendezvous.RankBy(caller, members, func(m fleet.MemberView) string { return m.Node })
	ranked = rendezvous.Spread(ranked, func(m fleet.MemberView) string { return m.FailureDomain })
	addresses := make([]Address, min(len(ranked), maxAddresses))
	for i := range addresses {
		addresses[i] = Address{Address: ranked[i].CallerAddress, FailureDomain: ranked[i].FailureDomain}
	}
	return addresses
}
