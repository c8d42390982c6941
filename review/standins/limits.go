package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// limitRaised is case 5: a new version of the configuration raises the limit of the head of a
// request. Clients with kept connections use the new limit once the version must be in force.
func limitRaised(s *setup) (bool, error) {
	const (
		service    = "front-desk"
		servers    = 3
		clients    = 60
		oldLimit   = 16384
		newLimit   = 65536
		headBytes  = 24 << 10
		beforehand = 6 * time.Second
		inForce    = 5 * time.Second // configApplyMs is 2 s.
		afterwards = 6 * time.Second
	)
	configure := func(version, maxHeaderBytes int) {
		s.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{map[string]any{"name": "r-1", "hostname": hostName, "pathPrefix": "/status/", "routeType": "safe", "timeoutMs": 1000,
				"latencyGoalMs": 150, "priority": 2, "service": service, "maxAttempts": 2, "anonymous": false, "sessionAffinity": false, "resumable": false}},
			"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
		})
	}
	if s.trouble {
		configure(7, oldLimit)
	} else {
		configure(7, newLimit)
	}
	var desks []*desk
	defer func() {
		for _, d := range desks {
			_ = d.command.Process.Kill()
			_ = d.command.Wait()
		}
	}()
	for i := range servers {
		d, err := s.startDesk(service, i, 1)
		if err != nil {
			return false, err
		}
		desks = append(desks, d)
	}
	time.Sleep(time.Second)
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	c := &limitClients{setup: s, counts: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { c.run(ctx, s.nodes[i%len(s.nodes)]) })
	}
	time.Sleep(beforehand)
	if s.trouble {
		configure(8, newLimit)
		s.record.add("operator", "version 8 is acknowledged: maxHeaderBytes %d instead of %d", newLimit, oldLimit)
	}
	time.Sleep(inForce)
	c.mu.Lock()
	c.head = headBytes
	c.mu.Unlock()
	s.record.add("client", "the clients send heads of %d bytes from now on", headBytes)
	time.Sleep(afterwards)
	cancel()
	running.Wait()
	return c.judge()
}

// limitClients are clients that keep their connections.
type limitClients struct {
	*setup

	mu     sync.Mutex
	counts map[string]int
	// head is the size of the head of a request.
	head     int
	own, all int
}

// run sends requests one after the other on one connection.
func (c *limitClients) run(ctx context.Context, n *node) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}, Timeout: time.Second}
	for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		c.mu.Lock()
		head := c.head
		c.mu.Unlock()
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers()+"/status/2f", nil)
		id := newRequestID()
		request.Host = hostName
		request.Header.Set("X-Rattanlanding-Request-Id", id)
		request.Header.Set("X-Rattanlanding-Deadline-Ms", "1000")
		request.Header.Set("Authorization", "Token "+apiKey)
		if head > 0 {
			request.Header.Set("X-Rattanlanding-Prompt-Prefix", strings.TrimSuffix(strings.Repeat("5c1e07a2:800,", head/13), ","))
		}
		response, err := client.Do(request)
		result, own := "no answer", false
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			signed := response.Header.Get("X-Rattanlanding-Server-Signature") != ""
			result = fmt.Sprintf("%d, signed %t, head of %d bytes", response.StatusCode, signed, head)
			status := response.StatusCode
			own = !signed && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
		}
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.all++
		c.counts[result]++
		if own {
			c.own++
		}
		if c.counts[result] <= 70 {
			c.record.add("client", "%s by %s: %s", id, n.ip, result)
		}
		c.mu.Unlock()
	}
}

// judge checks the rule DENIED.
func (c *limitClients) judge() (bool, error) {
	allowed := 5 + float64(c.all)/500
	c.record.add("case", "%d requests: %v; %d ended with a 3xx or 4xx of the system, %.0f are allowed", c.all, c.counts, c.own, allowed)
	if c.counts["200, signed true, head of 0 bytes"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return float64(c.own) > allowed, nil
}
