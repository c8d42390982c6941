package main

import (
	"context"
	"fmt"
	"time"
)

// sizeChange is case 4: a new version of the configuration gives a model a larger size while
// its groups serve.
func sizeChange(s *setup) (bool, error) {
	const service, modelName, streamCount = "care-llm", "m1", 32
	f := newFleet(s.store, service, []model{{modelName, 2, 12 * time.Second, 1100 * time.Millisecond}}, s.record)
	for i := range 16 {
		id, domain := fmt.Sprintf("i-%02d", i), fmt.Sprintf("d%d", i/8)
		if err := f.add(id, fmt.Sprintf("%s.%d:8120", s.prefix, 100+i), domain); err != nil {
			return false, err
		}
	}
	configure := func(version, size int) {
		s.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{map[string]any{"name": "r-1", "hostname": hostName, "pathPrefix": "/care/", "routeType": "streaming", "timeoutMs": 8000,
				"latencyGoalMs": 400, "priority": 1, "service": service, "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "resumable": true, "targetGapMs": 300}},
			"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 378, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 17, "kvCapacity": 1860000, "stride": 5,
					"models":  []any{map[string]any{"name": modelName, "size": size, "share": 1.0, "pace": 1.0, "loadS": 12.0, "warmupS": 1.1}},
					"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
					"report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7, "retainedCount": 1, "far_x": 3.0, "formMs": 300.0}}},
			"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
		})
	}
	configure(7, 2)
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	if err := f.waitOpen(8, time.Now().Add(30*time.Second)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range streamCount {
		go s.streams(ctx, "/care/2f", modelName, 34)
	}
	time.Sleep(8 * time.Second)
	f.mu.Lock()
	if s.trouble {
		f.models[0].size = 4
	}
	// The version must be in force 2 s after its acknowledgement; the check begins later, so
	// that groups can be formed anew.
	f.sizeFrom = time.Now().Add(12 * time.Second)
	f.mu.Unlock()
	if s.trouble {
		configure(8, 4)
		s.record.add("operator", "version 8 is acknowledged: model %s has size 4 instead of 2", modelName)
	}
	time.Sleep(30 * time.Second)
	cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.record.add("case", "%d requests began to run from 12 s after the acknowledgement, %d of them in a group without the model's size", f.began, len(f.broken))
	if f.began == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return len(f.broken) > 0, nil
}
