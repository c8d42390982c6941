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

// overloadFactor multiplies the requests of the design point.
const overloadFactor = 2

// urgentEvery is how often a caller asks for priority.
const urgentEvery = 20

// overloadOrganisations is the number of organisations that share the system
// prompts. The first sends a third of all requests; the second and third weigh
// most.
const overloadOrganisations = 10

// overload runs the choice simulation above capacity, with the real limiter at
// each node or without one.
type overload struct {
	*choiceSim
	limiters []*limit.Limiter
	count    int
	// asked, served and good count requests by organisation.
	asked, served    [overloadOrganisations]float64
	urgent, urgentOK float64
}

func organisationOf(r *simRequest) int { return r.system * overloadOrganisations / systemPrompts }

func weightOf(o int) float64 {
	if o == 1 || o == 2 {
		return 4
	}
	return 1
}

// newOverload returns a simulation with shedding or without.
func newOverload(c choiceCase, seed uint64, shed bool) *overload {
	o := &overload{choiceSim: newChoiceSim(c, seed, choicePolicies[len(choicePolicies)-1].make)}
	configuration := &fleet.Configuration{Services: []fleet.Service{{Name: simService, Kind: fleet.KindModel}}}
	for i := range overloadOrganisations {
		configuration.Organisations = append(configuration.Organisations,
			fleet.Organisation{Name: organisationName(i), Weight: weightOf(i), Priority: 1})
	}
	for i, n := range o.nodes {
		board := &blackboard.Board{}
		board.Configuration.Publish(configuration)
		board.Members.Publish(&blackboard.Members{Self: fmt.Sprint(i)})
		var waits limit.WaitSource
		if shed {
			waits = simWaits{n.builder}
		}
		limiter := limit.NewLimiter(board, limit.Config{Now: o.clock, Waits: waits}, metrics.NewRegistry())
		o.limiters = append(o.limiters, limiter)
		o.every(limit.DefaultInterval, limiter.Update)
		o.every(time.Second, func() { o.exchange(i, board) })
	}
	o.admit = o.decide
	return o
}

func organisationName(i int) string { return fmt.Sprintf("org-%d", i) }

// simWaits is the limiter's view of a simulated node's table.
type simWaits struct{ builder *route.Builder }

// EstimatedWait implements limit.WaitSource.
func (w simWaits) EstimatedWait(service string) (time.Duration, bool) {
	return w.builder.Table.Load().EstimatedWait(service)
}

// exchange tells a node the demand of up to fullMesh peers.
func (o *overload) exchange(self int, board *blackboard.Board) {
	demand := &blackboard.Demand{ByNode: make(map[string]blackboard.NodeDemand)}
	for k := range min(len(o.limiters), fullMesh) {
		peer := (self + k*max(len(o.limiters)/fullMesh, 1)) % len(o.limiters)
		demand.ByNode[fmt.Sprint(peer)] = o.limiters[peer].LocalDemand()
	}
	board.Demand.Publish(demand)
}

// decide admits a request as the gateway does.
func (o *overload) decide(r *simRequest) bool {
	o.count++
	priority := 0
	if o.count%urgentEvery == 0 {
		priority = 1
	}
	organisation := organisationOf(r)
	tokens := r.prompt + askedTokens
	_, err := o.limiters[r.node].Admit(context.Background(), organisationName(organisation), simService, tokens, priority)
	if o.counts(r) {
		o.asked[organisation] += float64(tokens)
		o.urgent += float64(priority)
		if err == nil {
			o.served[organisation] += float64(tokens)
			o.urgentOK += float64(priority)
		}
	}
	return err == nil
}

// jain is Jain's index of what each organisation got next to its fair share of
// the whole by weight: 1 when all got the same part of it.
func jain(got, fair []float64) float64 {
	var sum, squares float64
	for i := range got {
		x := got[i] / fair[i]
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / (float64(len(got)) * squares)
}

// fairShares divides total by weight, no organisation above what it asked for.
func fairShares(asked []float64, total float64) []float64 {
	fair := make([]float64, len(asked))
	open := make(map[int]bool, len(asked))
	for i := range asked {
		open[i] = true
	}
	for len(open) > 0 {
		weights := 0.0
		for i := range asked {
			if open[i] {
				weights += weightOf(i)
			}
		}
		level, closed := total/weights, false
		for i := range asked {
			if open[i] && asked[i] <= level*weightOf(i) {
				fair[i], closed = asked[i], true
				total -= asked[i]
				delete(open, i)
			}
		}
		if closed {
			continue
		}
		for i := range asked {
			if open[i] {
				fair[i] = level * weightOf(i)
			}
		}
		break
	}
	return fair
}

// good returns the tokens of good requests by organisation.
func (o *overload) good() []float64 {
	good := make([]float64, overloadOrganisations)
	for _, r := range o.sent {
		if o.isGood(r) {
			good[organisationOf(r)] += float64(r.prompt + askedTokens)
		}
	}
	return good
}

// overloads compares shedding with no shedding above capacity.
func overloads(ctx context.Context, seed uint64, emit Emit) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simParallel)
	var runs []*overload
	var goods [][]float64
	for i, size := range []choiceCase{
		{name: "9 nodes", nodes: 9, groups: 15, spread: time.Second},
		{name: "380 nodes", nodes: 380, groups: 75, spread: 1300 * time.Millisecond},
	} {
		size.space, size.load = kvTokens, overloadFactor
		for j, shed := range []bool{false, true} {
			runs, goods = append(runs, nil), append(goods, nil)
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				o := newOverload(size, seed, shed)
				o.run()
				goods[2*i+j] = o.good()
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

// emit writes the figures of one run.
func (o *overload) emit(policy string, good []float64, emit Emit) {
	r := &o.result
	seconds := (simLast - simWarmUp).Seconds()
	emit(policy, o.name+", goodput", float64(r.good)/seconds, "requests/s")
	emit(policy, o.name+", asked for", float64(r.arrived)/seconds, "requests/s")
	emit(policy, o.name+", refused", float64(r.refused)/float64(r.arrived), "of requests")
	emit(policy, o.name+", good of admitted", float64(r.good)/float64(max(r.arrived-r.refused, 1)), "of requests")
	emit(policy, o.name+", time to first token p95", float64(r.first.ValueAtQuantile(95))/1e6, "s")
	emit(policy, o.name+", priority requests admitted", o.urgentOK/max(o.urgent, 1), "of requests")
	total := 0.0
	for _, served := range o.served {
		total += served
	}
	emit(policy, o.name+", Jain's index of admitted tokens", jain(o.served[:], fairShares(o.asked[:], total)), "")
	total = 0
	for _, g := range good {
		total += g
	}
	if total > 0 {
		emit(policy, o.name+", Jain's index of good tokens", jain(good, fairShares(o.asked[:], total)), "")
	}
	for _, i := range []int{0, 1, 9} {
		emit(policy, fmt.Sprintf("%s, organisation %d of weight %g admitted", o.name, i, weightOf(i)),
			o.served[i]/max(o.asked[i], 1), "of tokens asked for")
	}
}
