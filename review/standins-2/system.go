package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// configuration returns the operator's configuration of a small deployment with one model service
// and one plain service.
func (l *lab) configuration(version int, models []model) map[string]any {
	list := []any{}
	for _, m := range models {
		l.models[m.name] = m
		list = append(list, map[string]any{"name": m.name, "size": m.size, "share": 1.0 / float64(len(models)), "pace": m.pace,
			"loadS": m.load.Seconds(), "warmupS": m.warm.Seconds()})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-care", "hostname": "ficu95.example", "pathPrefix": "/care/", "routeType": "streaming", "timeoutMs": 8000, "latencyGoalMs": 400,
				"priority": 1, "service": "llm", "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "resumable": true, "targetGapMs": 300},
			map[string]any{"name": "r-charge", "hostname": "ficu95.example", "pathPrefix": "/charge/", "routeType": "unsafe", "timeoutMs": 1000, "latencyGoalMs": 150,
				"priority": 2, "service": "desk", "maxAttempts": 2, "anonymous": false},
			map[string]any{"name": "r-status", "hostname": "ficu95.example", "pathPrefix": "/status/", "routeType": "safe", "timeoutMs": 1000, "latencyGoalMs": 150,
				"priority": 2, "service": "desk", "maxAttempts": 2, "anonymous": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 378, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kvCapacity": 1860000, "stride": 5, "models": list, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
				"read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7,
				"usual": map[string]any{"prompt": 979, "answer": 154}, "retainedCount": 1, "far_x": 3.0, "formMs": 300.0}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}}},
	}
}

// startSystem starts a store with a configuration, engines and nodes, and waits until they serve.
func (l *lab) startSystem(models []model, engines, plain, nodes, groups int, extra map[string]any) error {
	l.store.put("config", "main", l.configuration(7, models))
	for range engines {
		if _, err := l.newEngine("llm", "port-spain", "d1"); err != nil {
			return err
		}
	}
	zones := []string{"port-spain", "arima", "chaguanas"}
	for i := range plain {
		if _, err := l.newEngine("desk", zones[i%3], ""); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range min(nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8229", l.prefix, 10+i))
	}
	for i := range nodes {
		if _, err := l.newNode(i, zones[i%3], seeds, extra); err != nil {
			return err
		}
	}
	err := l.waitFor(20*time.Second, "all nodes ready", func() bool {
		for _, n := range l.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	defer l.begin()
	return l.waitFor(20*time.Second, "open groups", func() bool { return len(l.openHeads()) >= groups })
}

const key = "Token n2ctnfzs989anu6wsjnb"

var idSource = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
var idLock sync.Mutex

func newID() string {
	idLock.Lock()
	defer idLock.Unlock()
	return fmt.Sprintf("%016x", idSource.Uint64())
}

// streamHeader returns the headers of a request for a stream.
func streamHeader(id, model string, prompt, output, deadlineMs int) map[string]string {
	return map[string]string{"X-Rattanlanding-Request-Id": id, "X-Rattanlanding-Model": model, "Authorization": key,
		"X-Rattanlanding-Token-Count":   fmt.Sprintf("%d,%d", prompt, output),
		"X-Rattanlanding-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%s:%d", id, prompt-40),
		"X-Rattanlanding-Deadline-Ms":   fmt.Sprint(deadlineMs)}
}

// eventsOf returns the numbers of the events in the body of a stream.
func eventsOf(body []byte) (numbers []int) {
	for line := range strings.SplitSeq(string(body), "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
