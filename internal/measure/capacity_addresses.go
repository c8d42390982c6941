package measure

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/backend"
	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/gateway"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/retry"
	"github.com/rattanlanding/rattanlanding/route"
)

// addressRequests is the number of requests timed for each number of members.
const addressRequests = 2000

// addressResponseTime emits the time and the size of one response to
// GET /v1/addresses.
func addressResponseTime(_ context.Context, emit Emit) error {
	var points []point
	for _, nodes := range []int{9, 95, designNodes} {
		handler := addressGateway(nodes)
		started := time.Now()
		var size int
		for range addressRequests {
			answer := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodGet, "/v1/addresses", nil)
			request.Header.Set("Authorization", "Bearer "+pathKey)
			handler.ServeHTTP(answer, request)
			if answer.Code != http.StatusOK {
				return fmt.Errorf("GET /v1/addresses with %d members: status %d", nodes, answer.Code)
			}
			size = answer.Body.Len()
		}
		used := float64(time.Since(started).Microseconds()) / addressRequests
		emit("addresses", fmt.Sprintf("%d members, time an answer", nodes), used, "us")
		emit("addresses", fmt.Sprintf("%d members, body of an answer", nodes), float64(size), "B")
		points = append(points, point{float64(nodes), used})
	}
	emitLine(emit, "addresses", "time an answer", points, designNodes, "us", "member", "380 members")
	return nil
}

// addressGateway returns a gateway whose member list has the given number of
// serving nodes.
func addressGateway(nodes int) http.Handler {
	board := &blackboard.Board{}
	c := capacityConfiguration(1, 10, 1)
	c.Organisations[0].KeyHashes = []string{hexHash(pathKey)}
	board.Configuration.Publish(c)
	board.Confirmation.Publish(&blackboard.Confirmation{ServeUntil: time.Now().Add(time.Hour)})
	members := &blackboard.Members{Self: "node-0"}
	for i := range nodes {
		members.All = append(members.All, fleet.MemberView{HeartbeatAt: time.Now(), Member: fleet.Member{
			Node: fmt.Sprintf("node-%d", i), FailureDomain: domainOf(i % 5), State: fleet.NodeServing,
			CallerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250+1),
		}})
	}
	board.Members.Publish(members)
	registry := metrics.NewRegistry()
	builder := route.NewBuilder(route.Config{}, board, registry)
	return gateway.New(gateway.Config{}, gateway.Dependencies{Board: board, Table: &builder.Table,
		Engines: backend.NewEngineClient(registry), Servers: backend.NewPlainClient(registry), Limiter: gateway.Unlimited{},
		Claims: &claim.Fake{}, Refresher: gateway.Unlimited{}, Statuses: gateway.Unlimited{},
		Quarantine: quarantine.NewGuard(quarantine.Config{}, log.NewNopLogger(), metrics.NewRegistry()), Budget: retry.NewBudget(0, 0),
		Logger: log.NewNopLogger(), Registry: registry}).Handler()
}
