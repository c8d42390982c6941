package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// pathTokenTime is the time between two tokens of a stream at the design
	// point.
	pathTokenTime = 26 * time.Millisecond
	pathTokens    = 60
	// pathRequests is the number of requests of one case, at least one for each
	// connection.
	pathRequests = 2000
)

var pathConnections = []int{1, 10, 100, 1000}

// path measures what a node adds to a request and to a token, against direct
// connections to the same engines in the same run.
func path() Measurement {
	return Measurement{Name: "path", Run: func(ctx context.Context, _ uint64, emit Emit) error {
		p, err := newPathWorld()
		if err != nil {
			return err
		}
		defer p.close()
		for _, connections := range pathConnections {
			if err := p.requests(ctx, connections, emit); err != nil {
				return err
			}
			if err := p.streams(ctx, connections, emit); err != nil {
				return err
			}
		}
		return p.memory(ctx, emit)
	}}
}

// pathCost is what requests or tokens cost in one case.
type pathCost struct {
	latencies []time.Duration
	cpu       time.Duration
	// allocations and bytes are counted in the whole process.
	allocations, bytes float64
}

func (c *pathCost) quantile(q float64) float64 {
	return float64(c.latencies[int(q*float64(len(c.latencies)-1))].Nanoseconds()) / 1e3
}

// address returns where a caller connects.
func (p *pathWorld) address(direct bool, caller int) string {
	if direct {
		return p.engines[caller%len(p.engines)]
	}
	return p.node
}

// run lets every connection work at the same time and collects latencies.
func (p *pathWorld) run(connections int, work func(caller int, seen func(time.Duration)) error) (pathCost, error) {
	var mu sync.Mutex
	var cost pathCost
	var failed error
	var all sync.WaitGroup
	count, bytes := allocations()
	cpu := cpuTime()
	for caller := range connections {
		all.Go(func() {
			var own []time.Duration
			err := work(caller, func(d time.Duration) { own = append(own, d) })
			mu.Lock()
			defer mu.Unlock()
			cost.latencies = append(cost.latencies, own...)
			if err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	cost.cpu = cpuTime() - cpu
	countAfter, bytesAfter := allocations()
	cost.allocations, cost.bytes = countAfter-count, bytesAfter-bytes
	slices.Sort(cost.latencies)
	if failed == nil && len(cost.latencies) == 0 {
		failed = fmt.Errorf("no latencies with %d connections", connections)
	}
	return cost, failed
}

// both runs a case directly and through the node, twice in alternation, and
// keeps the second pass, in which the connections are open.
func (p *pathWorld) both(run func(direct bool) (pathCost, error)) (direct, through pathCost, err error) {
	for range 2 {
		if direct, err = run(true); err != nil {
			return
		}
		if through, err = run(false); err != nil {
			return
		}
	}
	return
}

// requests emits the time of whole requests with one token, one after another on
// each connection.
func (p *pathWorld) requests(ctx context.Context, connections int, emit Emit) error {
	each := max(pathRequests/connections, 2)
	direct, through, err := p.both(func(direct bool) (pathCost, error) {
		return p.run(connections, func(caller int, seen func(time.Duration)) error {
			for range each {
				started := time.Now()
				response, err := p.open(ctx, p.address(direct, caller), caller, 1, 0)
				if err != nil {
					return err
				}
				err = readTokens(response.Body, func(time.Duration) {})
				_ = response.Body.Close()
				if err != nil {
					return err
				}
				seen(time.Since(started))
			}
			return nil
		})
	})
	if err != nil {
		return err
	}
	emitPath(emit, fmt.Sprintf("request, %d connections", connections), direct, through)
	return nil
}

// streams emits the time from the engine's write of a token to its arrival.
func (p *pathWorld) streams(ctx context.Context, connections int, emit Emit) error {
	direct, through, err := p.both(func(direct bool) (pathCost, error) {
		return p.run(connections, func(caller int, seen func(time.Duration)) error {
			// The streams' tokens are spread over the time between tokens.
			pause(ctx, pathTokenTime*time.Duration(caller)/time.Duration(connections))
			response, err := p.open(ctx, p.address(direct, caller), caller, pathTokens, pathTokenTime)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			return readTokens(response.Body, seen)
		})
	})
	if err != nil {
		return err
	}
	emitPath(emit, fmt.Sprintf("token, %d streams", connections), direct, through)
	return nil
}

// emitPath emits both ways, the difference and the ratio.
func emitPath(emit Emit, what string, direct, through pathCost) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"median", 0.5}, {"99 of 100", 0.99}} {
		d, t := direct.quantile(q.at), through.quantile(q.at)
		emit("direct", what+", "+q.name, d, "us")
		emit("through a node", what+", "+q.name, t, "us")
		emit("added", what+", "+q.name, t-d, "us")
		emit("ratio", what+", "+q.name, t/d, "")
	}
	n := float64(len(through.latencies))
	emit("added", what+", processor time", float64((through.cpu-direct.cpu).Nanoseconds())/1e3/n, "us")
	emit("added", what+", allocations", (through.allocations-direct.allocations)/n, "allocations")
	emit("added", what+", allocated bytes", (through.bytes-direct.bytes)/n, "B")
}

// memory emits what one open stream keeps in the node.
func (p *pathWorld) memory(ctx context.Context, emit Emit) error {
	const streams = 1000
	held := make(map[bool]float64)
	for _, direct := range []bool{true, false} {
		p.client.CloseIdleConnections()
		before := memoryInUse()
		bounded, cancel := context.WithCancel(ctx)
		// The engines write one token and then wait longer than the measurement.
		for caller := range streams {
			if _, err := p.open(bounded, p.address(direct, caller), caller, 2, time.Hour); err != nil {
				cancel()
				return err
			}
		}
		time.Sleep(200 * time.Millisecond)
		held[direct] = (memoryInUse() - before) / streams
		cancel()
		time.Sleep(500 * time.Millisecond)
	}
	emit("direct", "memory of an open stream, both ends", held[true], "B")
	emit("through a node", "memory of an open stream, all three", held[false], "B")
	emit("added", "memory of an open stream", held[false]-held[true], "B")
	return nil
}
