package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

var requestCount atomic.Uint64

// newRequestID returns an id that no other request has.
func newRequestID() string { return fmt.Sprintf("%08x%08x", requestCount.Add(1), rand.Uint32()) }

// freshClient returns a client that opens a connection for each request.
func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// streams sends streaming requests one after the other until ctx ends.
func (s *setup) streams(ctx context.Context, path, model string, events int) {
	client := freshClient()
	for ctx.Err() == nil {
		n := s.nodes[rand.IntN(len(s.nodes))]
		id := newRequestID()
		limited, cancel := context.WithTimeout(ctx, 8*time.Second)
		request, _ := http.NewRequestWithContext(limited, http.MethodPost, "http://"+n.callers()+path, bytes.NewReader([]byte("prompt of "+id)))
		request.Host = hostName
		request.Header.Set("X-Rattanlanding-Request-Id", id)
		request.Header.Set("X-Rattanlanding-Deadline-Ms", "8000")
		request.Header.Set("X-Rattanlanding-Model", model)
		request.Header.Set("X-Rattanlanding-Token-Count", fmt.Sprintf("200,%d", events))
		request.Header.Set("X-Rattanlanding-Prompt-Prefix", "5c1e07a2:40,"+id[8:]+":160")
		request.Header.Set("Authorization", "Token "+apiKey)
		started := time.Now()
		response, err := client.Do(request)
		result := ""
		if err != nil {
			result = "no answer: " + err.Error()
		} else {
			got, last, readErr := readEvents(response.Body)
			_ = response.Body.Close()
			result = fmt.Sprintf("status %d, signature %q, %d events, last %d, end %v, after %d ms", response.StatusCode,
				response.Header.Get("X-Rattanlanding-Server-Signature"), got, last, readErr, time.Since(started).Milliseconds())
		}
		if ctx.Err() == nil {
			s.record.add("client", "%s by %s: %s", id, n.ip, result)
		}
		cancel()
		if err != nil || response.StatusCode != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// readEvents counts the events of a stream.
func readEvents(body io.Reader) (count, last int, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			count++
			last, _ = strconv.Atoi(text)
		}
	}
	return count, last, scanner.Err()
}
