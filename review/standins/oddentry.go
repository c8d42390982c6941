package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// oddEntry is case 1: an entry with missing fields, by another writer, under the name of the
// head of an open group.
func oddEntry(s *setup) (bool, error) {
	const service, modelName, streamCount = "care-llm", "m1", 16
	f := newFleet(s.store, service, []model{{modelName, 2, 12 * time.Second, 1100 * time.Millisecond}}, s.record)
	for i := range 10 {
		id, domain := fmt.Sprintf("i-%02d", i), fmt.Sprintf("d%d", i/5)
		if err := f.add(id, fmt.Sprintf("%s.%d:8120", s.prefix, 100+i), domain); err != nil {
			return false, err
		}
	}
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "hostname": hostName, "pathPrefix": "/care/", "routeType": "streaming", "timeoutMs": 8000,
			"latencyGoalMs": 400, "priority": 1, "service": service, "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "resumable": true, "targetGapMs": 300}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 378, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 17, "kvCapacity": 1860000, "stride": 5,
				"models":  []any{map[string]any{"name": modelName, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 12.0, "warmupS": 1.1}},
				"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
				"report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7, "retainedCount": 1, "far_x": 3.0, "formMs": 300.0}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	if err := f.waitOpen(4, time.Now().Add(30*time.Second)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range streamCount {
		go s.streams(ctx, "/care/2f", modelName, 34)
	}
	time.Sleep(12 * time.Second)
	f.mu.Lock()
	early := slices.Clone(f.broken)
	f.mu.Unlock()
	if len(early) > 0 {
		return false, fmt.Errorf("a rule was broken before the disruption: %v", early)
	}
	if s.trouble {
		f.overwriteHead()
	}
	time.Sleep(15 * time.Second)
	cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.broken) > 0, nil
}

// overwriteHead writes an entry without the fields version, slots, coldRemainingMs, stage,
// models, sequence, staged, born and group under the name of the head of an open group, as
// another writer may. The engine writes its own entry again at its next heartbeat.
func (f *fleet) overwriteHead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.ids() {
		if e := f.engines[id]; e.group.State == "open" {
			f.record.add("trouble", "another writer writes an entry with missing fields as %s, the open head of group %s, members %v", e.id, e.group.Name, e.members)
			f.store.put("servers", e.id, map[string]any{"service": f.service, "address": e.address, "zone": "port-spain", "domain": e.domain, "state": "ready"})
			return
		}
	}
}

// ids returns the engines in order. The caller holds f.mu.
func (f *fleet) ids() []string {
	var ids []string
	for id := range f.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// waitOpen waits until a number of groups is open.
func (f *fleet) waitOpen(count int, until time.Time) error {
	for time.Now().Before(until) {
		open := 0
		f.mu.Lock()
		for _, e := range f.engines {
			if e.group.State == "open" {
				open++
			}
		}
		f.mu.Unlock()
		if open >= count {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("fewer than %d groups are open", count)
}
