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
	// pathTokens is the number of tokens of a stream.
	pathTokens = 60
	// pathRequests is the number of requests of one case, at least one for each
	// connection.
	pathRequests = 2000
)

var pathConnections = []int{1, 10, 100, 1000}

// path measures the latency and cost that a node adds to a request and to a token,
// compared with direct connections to the same engines in the same run.
func path() Measurement {
	return Measurement{Name: "path", Run: func(ctx context.Context, _ uint64, emit Emit) error {
		t, err := newPathTestbed()
		if err != nil {
			return err
		}
		defer t.close()
		for _, connections := range pathConnections {
			if err := t.requests(ctx, connections, emit); err != nil {
				return err
			}
			if err := t.streams(ctx, connections, emit); err != nil {
				return err
			}
		}
		return t.memory(ctx, emit)
	}}
}

// pathCost is the cost of the requests or tokens of one case.
type pathCost struct {
	latencies []time.Duration
	cpu       time.Duration
	// allocations and bytes are counted over the whole process.
	allocations, bytes float64
}

// quantile returns the q quantile of the latencies, in microseconds.
func (c *pathCost) quantile(q float64) float64 {
	return float64(c.latencies[int(q*float64(len(c.latencies)-1))].Nanoseconds()) / 1e3
}

// address returns the address to which a caller connects.
func (t *pathTestbed) address(direct bool, caller int) string {
	if direct {
		return t.engines[caller%len(t.engines)]
	}
	return t.node
}

// run runs work on all connections concurrently and collects the recorded latencies
// and the cost.
func (t *pathTestbed) run(connections int, work func(caller int, record func(time.Duration)) error) (pathCost, error) {
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
		failed = fmt.Errorf("no latencies recorded with %d connections", connections)
	}
	return cost, failed
}

// runBoth runs a case directly and through the node, twice in alternation, and
// returns the costs of the second pass, in which the connections are already open.
func (t *pathTestbed) runBoth(run func(direct bool) (pathCost, error)) (direct, through pathCost, err error) {
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
func (t *pathTestbed) requests(ctx context.Context, connections int, emit Emit) error {
	each := max(pathRequests/connections, 2)
	direct, through, err := t.runBoth(func(direct bool) (pathCost, error) {
		return t.run(connections, func(caller int, seen func(time.Duration)) error {
			for range each {
				started := time.Now()
				response, err := t.openStream(ctx, t.address(direct, caller), caller, 1, 0)
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
func (t *pathTestbed) streams(ctx context.Context, connections int, emit Emit) error {
	direct, through, err := t.runBoth(func(direct bool) (pathCost, error) {
		return t.run(connections, func(caller int, seen func(time.Duration)) error {
			// The streams' tokens are spread over the time between tokens.
			pause(ctx, pathTokenTime*time.Duration(caller)/time.Duration(connections))
			response, err := t.openStream(ctx, t.address(direct, caller), caller, pathTokens, pathTokenTime)
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

// emitPath emits the costs of both paths, their difference and their ratio.
func emitPath(emit Emit, name string, direct, through pathCost) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"median", 0.5}, {"99 of 100", 0.99}} {
		d, t := direct.quantile(q.at), through.quantile(q.at)
		emit("direct", name+", "+q.name, d, "us")
		emit("through a node", name+", "+q.name, t, "us")
		emit("added", name+", "+q.name, t-d, "us")
		emit("ratio", name+", "+q.name, t/d, "")
	}
	n := float64(len(through.latencies))
	emit("added", name+", processor time", float64((through.cpu-direct.cpu).Nanoseconds())/1e3/n, "us")
	emit("added", name+", allocations", (through.allocations-direct.allocations)/n, "allocations")
	emit("added", name+", allocated bytes", (through.bytes-direct.bytes)/n, "B")
}

// memory emits the memory that one open stream takes in the node.
func (t *pathTestbed) memory(ctx context.Context, emit Emit) error {
	const streams = 1000
	held := make(map[bool]float64)
	for _, direct := range []bool{true, false} {
		t.client.CloseIdleConnections()
		before := memoryInUse()
		bounded, cancel := context.WithCancel(ctx)
		// The engines write one token and then wait longer than the measurement.
		for caller := range streams {
			if _, err := t.openStream(bounded, t.address(direct, caller), caller, 2, time.Hour); err != nil {
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
