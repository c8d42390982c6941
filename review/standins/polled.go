package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// polled is case 2: callers ask for a record that isn't there, which the servers answer with
// 404. Servers of the application crash one after the other; one of three is down at a time.
func polled(s *setup) (bool, error) {
	const (
		service     = "front-desk"
		servers     = 3
		perSecond   = 200
		crashes     = 6
		crashPause  = 8 * time.Second
		downTime    = 4500 * time.Millisecond
		afterwards  = 10 * time.Second
		beforehand  = 5 * time.Second
		lookupLimit = time.Second
	)
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-1", "hostname": hostName, "pathPrefix": "/status/", "routeType": "safe", "timeoutMs": 1000,
			"latencyGoalMs": 150, "priority": 2, "service": service, "maxAttempts": 2, "anonymous": false, "sessionAffinity": false, "resumable": false}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	desks := make([]*desk, servers)
	defer func() {
		for _, d := range desks {
			if d != nil && d.command.ProcessState == nil {
				_ = d.command.Process.Kill()
				_ = d.command.Wait()
			}
		}
	}()
	for i := range desks {
		var err error
		if desks[i], err = s.startDesk(service, i, 1); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &lookups{setup: s, counts: map[string]int{}, limit: lookupLimit,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
	var running sync.WaitGroup
	running.Go(func() {
		for tick := time.NewTicker(time.Second / perSecond); ctx.Err() == nil; <-tick.C {
			running.Go(func() { c.ask(ctx) })
		}
	})
	time.Sleep(beforehand)
	for k := range crashes {
		if s.trouble {
			i := k % servers
			s.crash(desks[i])
			time.Sleep(downTime)
			var err error
			if desks[i], err = s.startDesk(service, i, 2+k/servers); err != nil {
				return false, err
			}
			time.Sleep(crashPause - downTime)
		} else {
			time.Sleep(crashPause)
		}
	}
	time.Sleep(afterwards)
	cancel()
	running.Wait()
	return c.judge()
}

// lookups sends requests for one record and counts the answers.
type lookups struct {
	*setup
	client *http.Client
	limit  time.Duration

	mu     sync.Mutex
	counts map[string]int
	// own is the number of requests that the system itself ended with a 3xx or 4xx other
	// than 408, 421 and 429.
	own, all int
}

func (c *lookups) ask(ctx context.Context) {
	n := c.nodes[rand.IntN(len(c.nodes))]
	limited, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	request, _ := http.NewRequestWithContext(limited, http.MethodGet, "http://"+n.callers()+"/status/2f/unknown", nil)
	id := newRequestID()
	request.Host = hostName
	request.Header.Set("X-Rattanlanding-Request-Id", id)
	request.Header.Set("X-Rattanlanding-Deadline-Ms", fmt.Sprint(c.limit.Milliseconds()))
	request.Header.Set("Authorization", "Token "+apiKey)
	response, err := c.client.Do(request)
	result, own := "no answer", false
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		signature := response.Header.Get("X-Rattanlanding-Server-Signature")
		result = fmt.Sprintf("%d of the system", response.StatusCode)
		if signature != "" {
			result = fmt.Sprintf("%d of a server", response.StatusCode)
		}
		status := response.StatusCode
		own = signature == "" && status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
	}
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all++
	c.counts[result]++
	if own {
		c.own++
	}
	if c.counts[result] <= 20 {
		c.record.add("client", "%s by %s: %s", id, n.ip, result)
	}
}

// judge checks the rule DENIED.
func (c *lookups) judge() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := 5 + float64(c.all)/500
	c.record.add("case", "%d requests: %v; %d ended with a 3xx or 4xx of the system, %.0f are allowed", c.all, c.counts, c.own, allowed)
	if c.counts["404 of a server"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return float64(c.own) > allowed, nil
}
