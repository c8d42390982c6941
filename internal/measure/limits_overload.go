package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/route"
)

// overloadFactor multiplies the request rate of the design point.
const overloadFactor = 2

// priorityRequestInterval is the number of requests of which one has priority.
const priorityRequestInterval = 20

// overloadOrganisations is the number of organisations that share the system
// prompts. The first sends a third of all requests; the second and third have the
// highest weight.
const overloadOrganisations = 10

// overload runs the choice simulation above capacity, with the real limiter at
// each node or without one.
type overload struct {
	*choiceSim
	limiters     []*limit.Limiter
	requestCount int
	// requested and served are tokens by organisation.
	requested, served                  [overloadOrganisations]float64
	priorityRequests, priorityAdmitted float64
}

// organisationIndex returns the organisation that sends r, by r's system prompt.
func organisationIndex(r *simRequest) int { return r.system * overloadOrganisations / systemPrompts }

func organisationWeight(o int) float64 {
	if o == 1 || o == 2 {
		return 4
	}
	return 1
}

// newOverload returns a simulation with or without load shedding.
func newOverload(c choiceCase, seed uint64, shed bool) *overload {
	o := &overload{choiceSim: newChoiceSim(c, seed, choicePolicies[len(choicePolicies)-1].make)}
	configuration := &fleet.Configuration{Services: []fleet.Service{{Name: simService, Kind: fleet.KindModel}}}
	for i := range overloadOrganisations {
		configuration.Organisations = append(configuration.Organisations,
			fleet.Organisation{Name: organisationName(i), Weight: organisationWeight(i), Priority: 1})
	}
	for i, n := range o.nodes {
		board := &blackboard.Board{}
		board.Configuration.Publish(configuration)
		board.Members.Publish(&blackboard.Members{Self: fmt.Sprint(i)})
		var waits limit.WaitSource
		if shed {
			waits = simWaitSource{n.builder}
		}
		limiter := limit.NewLimiter(board, limit.Config{Now: o.clock, Waits: waits}, metrics.NewRegistry())
		o.limiters = append(o.limiters, limiter)
		o.scheduleEvery(limit.DefaultInterval, limiter.Update)
		o.scheduleEvery(time.Second, func() { o.exchange(i, board) })
	}
	o.admit = o.admitRequest
	return o
}

func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }

// simWaitSource gives the limiter the waits estimated by a simulated node's table.
type simWaitSource struct{ builder *route.Builder }

// EstimatedWait implements limit.WaitSource.
func (w simWaitSource) EstimatedWait(service string) (time.Duration, bool) {
	return w.builder.Table.Load().EstimatedWait(service)
}

// exchange publishes the demand of up to fullMesh peers at a node.
func (o *overload) exchange(self int, board *blackboard.Board) {
	demand := &blackboard.Demand{ByNode: make(map[string]blackboard.NodeDemand)}
	for k := range min(len(o.limiters), fullMesh) {
		peer := (self + k*max(len(o.limiters)/fullMesh, 1)) % len(o.limiters)
		demand.ByNode[fmt.Sprint(peer)] = o.limiters[peer].LocalDemand()
	}
	board.Demand.Publish(demand)
}

// admitRequest reports whether a request is admitted, as the gateway decides it.
func (o *overload) admitRequest(r *simRequest) bool {
	o.requestCount++
	priority := 0
	if o.requestCount%priorityRequestInterval == 0 {
		priority = 1
	}
	organisation := organisationIndex(r)
	tokens := r.prompt + maxOutputTokens
	_, err := o.limiters[r.node].Admit(context.Background(), organisationName(organisation), simService, tokens, priority)
	if o.isMeasured(r) {
		o.requested[organisation] += float64(tokens)
		o.priorityRequests += float64(priority)
		if err == nil {
			o.served[organisation] += float64(tokens)
			o.priorityAdmitted += float64(priority)
		}
	}
	return err == nil
}

// jainIndex returns Jain's fairness index of the ratios of received to fair share: 1
// if every organisation received the same fraction of its fair share by weight.
func jainIndex(received, fair []float64) float64 {
	var sum, squares float64
	for i := range received {
		x := received[i] / fair[i]
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / (float64(len(received)) * squares)
}

// fairShares divides total by weight, with no organisation above its request.
func fairShares(requested []float64, total float64) []float64 {
	fair := make([]float64, len(requested))
	unassigned := make(map[int]bool, len(requested))
	for i := range requested {
		unassigned[i] = true
	}
	for len(unassigned) > 0 {
		weights := 0.0
		for i := range requested {
			if unassigned[i] {
				weights += organisationWeight(i)
			}
		}
		level, capped := total/weights, false
		for i := range requested {
			if unassigned[i] && requested[i] <= level*organisationWeight(i) {
				fair[i], capped = requested[i], true
				total -= requested[i]
				delete(unassigned, i)
			}
		}
		if capped {
			continue
		}
		for i := range requested {
			if unassigned[i] {
				fair[i] = level * organisationWeight(i)
			}
		}
		break
	}
	return fair
}

// goodTokens returns the tokens of requests that met the targets, by organisation.
func (o *overload) goodTokens() []float64 {
	good := make([]float64, overloadOrganisations)
	for _, r := range o.admitted {
		if o.metTargets(r) {
			good[organisationIndex(r)] += float64(r.prompt + maxOutputTokens)
		}
	}
	return good
}

// overloads compares load shedding with none at a load above capacity.
func overloads(ctx context.Context, seed uint64, emit Emit) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simConcurrency)
	var runs []*overload
	var goods [][]float64
	for i, size := range []choiceCase{
		{name: "9 nodes", nodes: 9, groups: 15, reportDelay: time.Second},
		{name: "380 nodes", nodes: 380, groups: 75, reportDelay: 1300 * time.Millisecond},
	} {
		size.kvCapacity, size.loadFactor = kvTokens, overloadFactor
		for j, shed := range []bool{false, true} {
			runs, goods = append(runs, nil), append(goods, nil)
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				o := newOverload(size, seed, shed)
				o.run()
				goods[2*i+j] = o.goodTokens()
				o.release()
				runs[2*i+j] = o
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, o := range runs {
		o.emit([]string{"no shedding", "shedding"}[i%2], goods[i], emit)
	}
	return nil
}

// emit emits the figures of one run.
func (o *overload) emit(policy string, good []float64, emit Emit) {
	r := &o.result
	seconds := (simMeasureEnd - simWarmUp).Seconds()
	emit(policy, o.name+", goodput", float64(r.good)/seconds, "requests/s")
	emit(policy, o.name+", asked for", float64(r.arrived)/seconds, "requests/s")
	emit(policy, o.name+", refused", float64(r.refused)/float64(r.arrived), "of requests")
	emit(policy, o.name+", good of admitted", float64(r.good)/float64(max(r.arrived-r.refused, 1)), "of requests")
	emit(policy, o.name+", time to first token p95", float64(r.first.ValueAtQuantile(95))/1e6, "s")
	emit(policy, o.name+", priority requests admitted", o.priorityAdmitted/max(o.priorityRequests, 1), "of requests")
	total := 0.0
	for _, served := range o.served {
		total += served
	}
	emit(policy, o.name+", Jain's index of admitted tokens", jainIndex(o.served[:], fairShares(o.requested[:], total)), "")
	total = 0
	for _, g := range good {
		total += g
	}
	if total > 0 {
		emit(policy, o.name+", Jain's index of good tokens", jainIndex(good, fairShares(o.requested[:], total)), "")
	}
	for _, i := range []int{0, 1, 9} {
		emit(policy, fmt.Sprintf("%s, organisation %d of weight %g admitted", o.name, i, organisationWeight(i)),
			o.served[i]/max(o.requested[i], 1), "of tokens asked for")
	}
}
