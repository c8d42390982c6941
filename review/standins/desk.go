package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// work is how long a server of the booking application works on a request.
const work = 30 * time.Millisecond

// runDesk runs a server of the booking application as a process of its own. It writes its
// entry to the store, at once and at each heartbeat.
func runDesk(args []string) int {
	if len(args) != 4 {
		return exitNotRun
	}
	store, id, address, service := args[0], args[1], args[2], args[3]
	listener, err := net.Listen("tcp4", address)
	for end := time.Now().Add(3 * time.Second); err != nil && time.Now().Before(end); listener, err = net.Listen("tcp4", address) {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			register(store, id, map[string]any{"service": service, "address": address, "zone": "port-spain", "version": "v1", "slots": 6,
				"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born})
			time.Sleep(heartbeat)
		}
	}()
	slots := make(chan struct{}, 6)
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rattanlanding-Request-Id", r.Header.Get("X-Rattanlanding-Request-Id"))
		if expected := r.Header.Get("X-Rattanlanding-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Rattanlanding-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		slots <- struct{}{}
		defer func() { <-slots }()
		time.Sleep(work)
		w.Header().Set("X-Rattanlanding-Server-Signature", id)
		body := "booked\n"
		if strings.HasSuffix(r.URL.Path, "/unknown") {
			// The record that is asked for isn't there.
			body = "no such tree\n"
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, body)
	}))
	return exitNotRun
}

// register writes an entry to the store.
func register(store, id string, spec map[string]any) {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": id}, "spec": spec})
	if err != nil {
		panic(err)
	}
	for _, call := range [][2]string{{http.MethodPut, "/api/objects/servers/" + id}, {http.MethodPost, "/api/objects/servers"}} {
		request, _ := http.NewRequest(call[0], "http://"+store+call[1], bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			return
		}
	}
}

// desk is a process of a server of the booking application.
type desk struct {
	id, address string
	command     *exec.Cmd
}

// startDesk starts a server; starts counts the starts at its address.
func (s *setup) startDesk(service string, i, starts int) (*desk, error) {
	d := &desk{id: fmt.Sprintf("i-desk%d-%d", i, starts), address: fmt.Sprintf("%s.%d:8120", s.prefix, 60+i)}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d.command = exec.Command(program, "desk", s.store.address, d.id, d.address, service)
	d.command.Stderr = os.Stderr
	return d, d.command.Start()
}

// crash kills the process. The store removes its entry after three heartbeats.
func (s *setup) crash(d *desk) {
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
	s.record.add("trouble", "server %s at %s crashes", d.id, d.address)
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", d.id) })
}
