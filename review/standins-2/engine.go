package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the engines, as in the users' sheets.
const (
	heartbeat   = 1200 * time.Millisecond
	stallTime   = 5 * time.Second
	formTime    = 300 * time.Millisecond
	rejoinTime  = 200 * time.Millisecond
	tokensPerMs = 45.9
	slots       = 17
	queueLength = 34
)

type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// engine is a stand-in of a backend server: a model engine if domain isn't empty, else a plain
// server.
type engine struct {
	lab                       *lab
	id, service, zone, domain string
	listener                  net.Listener
	address                   string

	mu       sync.Mutex
	born     int64
	sequence int
	dead     bool
	group    *membership
	members  []string
	maxEpoch uint64
	model    string
	lastOne  string
	staged   []string
	// conns are the open connections; the value is true while a client's request is in progress.
	conns   map[net.Conn]bool
	running int
	// readAt is when the prompts that were given to the engine are read.
	readAt time.Time
	// stalledAt is when the group lost a member; zero if it didn't.
	stalledAt time.Time
	// unframed says which answers have no length and end with their connection.
	unframed func(request string) bool
	// plain answers requests of a plain server; nil means the usual answer.
	plain func(e *engine, c net.Conn, r *http.Request, body []byte) bool
	// early answers a request of a plain server before its body was read, and reports whether it
	// did; nil means that none is answered so.
	early func(e *engine, c net.Conn, r *http.Request) bool
}

func (l *lab) newEngine(service, zone, domain string) (*engine, error) {
	l.mu.Lock()
	l.engineCount++
	e := &engine{lab: l, id: fmt.Sprintf("i-%04d", l.engineCount), service: service, zone: zone, domain: domain, conns: map[net.Conn]bool{}}
	l.mu.Unlock()
	var err error
	if e.listener, err = net.Listen("tcp4", l.prefix+".200:0"); err != nil {
		return nil, err
	}
	e.address = e.listener.Addr().String()
	e.born = time.Now().UnixMilli()
	l.mu.Lock()
	l.engines[e.id] = e
	l.mu.Unlock()
	go e.accept(e.listener)
	go e.beat()
	return e, nil
}

func (e *engine) beat() {
	for {
		e.mu.Lock()
		if e.dead {
			e.mu.Unlock()
			return
		}
		e.publish()
		e.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// publish writes the entry. The caller holds e.mu.
func (e *engine) publish() {
	if e.dead {
		return
	}
	e.sequence++
	spec := e.spec()
	if e.lab.store.beat(e.id, spec) {
		return
	}
	// Without an answer the engine writes again what it is then.
	time.AfterFunc(time.Second, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.publish()
	})
}

// spec returns the entry. The caller holds e.mu.
func (e *engine) spec() map[string]any {
	spec := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": e.sequence, "born": e.born}
	if e.domain != "" {
		models := []any{}
		if e.model != "" {
			models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": []any{}})
		}
		spec["stage"], spec["models"], spec["domain"], spec["staged"] = "both", models, e.domain, append([]string{}, e.staged...)
		if e.group != nil {
			spec["group"] = *e.group
		}
	} else {
		spec["slots"] = 6
	}
	return spec
}

// crash ends the engine for good: it sends nothing any more, and nothing listens. Its entry is
// removed after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.dead = true
	_ = e.listener.Close()
	for c := range e.conns {
		reset(c)
	}
	e.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { e.lab.store.remove("servers", e.id) })
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = false
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if e.early != nil && e.isExpected(r) && e.early(e, c, r) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/api/order":
			e.order(c, r, body)
		case r.URL.Path == "/api/report":
			writeAnswer(c, 200, nil, []byte(`{"stage":"both","models":[],"busy":false,"sequence":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":1860000,"handles":0}`))
		default:
			if !e.request(c, reader, r, body) {
				return
			}
		}
		if r.Close {
			return
		}
	}
}

// isExpected reports whether a request of a client is for this engine.
func (e *engine) isExpected(r *http.Request) bool {
	expected := r.Header.Get("X-Rattanlanding-Expect-Instance")
	return !strings.HasPrefix(r.URL.Path, "/api/") && (expected == "" || expected == e.id)
}

// writeAnswer writes an answer with a length.
func writeAnswer(c net.Conn, status int, header map[string]string, body []byte) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = io.WriteString(c, b.String())
}

func (e *engine) order(c net.Conn, r *http.Request, body []byte) {
	var o struct {
		Operation, Group, Model, CloseMode string
		Epoch                              uint64
		Members                            []string
	}
	if expected := r.Header.Get("X-Rattanlanding-Expect-Instance"); expected != "" && expected != e.id {
		writeAnswer(c, 421, map[string]string{"X-Rattanlanding-Instance-Id": e.id}, nil)
		return
	}
	if err := json.Unmarshal(body, &o); err != nil {
		writeAnswer(c, 400, nil, nil)
		return
	}
	e.lab.note("order %s %s %s epoch %d model %s members %v", e.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members)
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	status := 202
	switch o.Operation {
	case "join":
		if o.Epoch < e.maxEpoch {
			writeAnswer(c, 412, nil, nil)
			return
		}
		if same {
			status = 200
			break
		}
		e.maxEpoch = o.Epoch
		e.checkTwo(o.Group, o.Epoch)
		took := rejoinTime
		if e.lastOne != o.Model {
			m := e.lab.models[o.Model]
			took = m.warm
			found := false
			for _, s := range e.staged {
				found = found || s == o.Model
			}
			if !found {
				took = e.lab.loadTime(m)
			}
			e.staged = []string{o.Model}
		}
		rank := 0
		for i, id := range o.Members {
			if id == e.id {
				rank = i
			}
		}
		e.group = &membership{o.Group, o.Epoch, rank, "joining"}
		e.members, e.model, e.lastOne, e.stalledAt = o.Members, o.Model, o.Model, time.Time{}
		e.publish()
		time.AfterFunc(took, func() { e.advance(o.Group, o.Epoch, "joining", "ready") })
	case "open":
		switch {
		case !same || e.group.Rank != 0 || e.group.State == "joining" || e.group.State == "broken":
			status = 409
		case e.group.State == "open":
			status = 200
		default:
			time.AfterFunc(formTime, func() { e.advance(o.Group, o.Epoch, "ready", "open") })
		}
	case "close":
		switch {
		case !same || e.group.State != "open":
			status = 409
		default:
			if o.CloseMode == "cut" {
				for conn, busy := range e.conns {
					if busy {
						reset(conn)
					}
				}
				e.group.State = "ready"
			} else {
				e.group.State = "closing"
				go e.closeWhenIdle(o.Group, o.Epoch)
			}
			e.publish()
		}
	case "leave":
		if !same {
			status = 409
			break
		}
		e.group, e.model = nil, ""
		e.publish()
	case "stage":
		m := e.lab.models[o.Model]
		time.AfterFunc(e.lab.loadTime(m), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged = []string{o.Model}
			e.publish()
		})
	default:
		status = 400
	}
	writeAnswer(c, status, nil, nil)
}

// checkTwo notes if the engine takes a join of another group while the head of its group is open or
// closing. The caller holds e.mu.
func (e *engine) checkTwo(group string, epoch uint64) {
	if e.group == nil || len(e.members) == 0 {
		return
	}
	state := ""
	if e.members[0] == e.id {
		state = e.group.State
	} else if head := e.lab.engine(e.members[0]); head != nil {
		head.mu.Lock()
		if !head.dead && head.group != nil && head.group.Name == e.group.Name && head.group.Epoch == e.group.Epoch {
			state = head.group.State
		}
		head.mu.Unlock()
	}
	if state == "open" || state == "closing" {
		e.lab.violation("TWO: %s takes the join of %s (epoch %d) while the head %s of its group %s (epoch %d) is %s, with %d requests in progress there",
			e.id, group, epoch, e.members[0], e.group.Name, e.group.Epoch, state, e.running)
	}
}

func (e *engine) closeWhenIdle(group string, epoch uint64) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			e.advance(group, epoch, "closing", "ready")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// advance changes the state of a membership that is still the same.
func (e *engine) advance(group string, epoch uint64, from, to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group != nil && e.group.Name == group && e.group.Epoch == epoch && e.group.State == from {
		e.group.State = to
		e.publish()
	}
}

// stalled reports whether the group of this head has lost a member, and for how long.
func (e *engine) stalled() (since time.Duration, stalled bool) {
	e.mu.Lock()
	members, group := e.members, e.group
	e.mu.Unlock()
	if group == nil {
		return 0, false
	}
	lost := false
	for _, id := range members {
		m := e.lab.engine(id)
		if m == e || m == nil {
			continue
		}
		m.mu.Lock()
		lost = lost || m.dead || m.group == nil || m.group.Name != group.Name || m.group.Epoch != group.Epoch
		m.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !lost:
		e.stalledAt = time.Time{}
		return 0, false
	case e.stalledAt.IsZero():
		e.stalledAt = time.Now()
	}
	since = time.Since(e.stalledAt)
	if since >= stallTime && e.group != nil && e.group.State != "broken" {
		e.group.State = "broken"
		e.publish()
	}
	return since, true
}

// request answers a client's request, and reports whether the connection goes on.
func (e *engine) request(c net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Rattanlanding-Request-Id")
	own := map[string]string{"X-Rattanlanding-Request-Id": id, "X-Rattanlanding-Instance-Id": e.id}
	refused := map[string]string{"X-Rattanlanding-Request-Id": id, "X-Rattanlanding-Not-Executed": "1"}
	if expected := r.Header.Get("X-Rattanlanding-Expect-Instance"); expected != "" && expected != e.id {
		writeAnswer(c, 421, own, nil)
		return true
	}
	if e.domain == "" {
		if e.plain != nil {
			return e.plain(e, c, r, body)
		}
		return e.answerPlain(c, r, body)
	}
	e.mu.Lock()
	open := e.group != nil && e.group.Rank == 0 && e.group.State == "open"
	full := e.running >= slots+queueLength
	if open && !full {
		e.running++
		e.conns[c] = true
	}
	e.mu.Unlock()
	switch {
	case !open:
		writeAnswer(c, 421, own, nil)
		return true
	case full:
		writeAnswer(c, 503, refused, nil)
		return true
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.conns[c] = false
		e.mu.Unlock()
	}()
	// Drop the request when its connection closes.
	gone, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	goesOn := e.stream(c, r, id, gone)
	// The watcher must not read the next request.
	_ = c.SetReadDeadline(time.Now())
	<-watched
	_ = c.SetReadDeadline(time.Time{})
	return goesOn
}

func (e *engine) answerPlain(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Rattanlanding-Request-Id")
	e.lab.ran(id, e.id)
	time.Sleep(30 * time.Millisecond)
	answer := []byte(strings.Repeat("plain answer to "+id+"\n", 20))
	e.lab.made(id, e.id, answer)
	writeAnswer(c, 200, map[string]string{"X-Rattanlanding-Request-Id": id, "X-Rattanlanding-Server-Signature": signature(id, answer)}, answer)
	return true
}

// signature is the signature of an answer.
func signature(id string, answer []byte) string { return fmt.Sprintf("%s.%d", id, len(answer)) }

// stream sends the events of an answer after the one in Last-Event-Id.
func (e *engine) stream(c net.Conn, r *http.Request, id string, gone chan struct{}) bool {
	prompt, output := 0, 0
	if p, o, ok := strings.Cut(r.Header.Get("X-Rattanlanding-Token-Count"), ","); ok {
		prompt, _ = strconv.Atoi(p)
		output, _ = strconv.Atoi(o)
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := max(output/5, 1)
	// Prompts are read one after the other.
	e.mu.Lock()
	now := time.Now()
	if e.readAt.Before(now) {
		e.readAt = now
	}
	e.readAt = e.readAt.Add(time.Duration(float64(prompt) / tokensPerMs * float64(time.Millisecond)))
	first := e.readAt.Sub(now) + 50*time.Millisecond
	unframed := e.unframed != nil && e.unframed(id)
	e.mu.Unlock()
	e.lab.note("engine %s takes %s after event %d, unframed %t", e.id, id, last, unframed)
	if !e.pause(first, gone) {
		e.cut(c, id, last, unframed)
		return false
	}
	e.lab.ran(id, e.id)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Rattanlanding-Request-Id: " + id +
		"\r\nX-Rattanlanding-Server-Signature: " + id + ".stream\r\n"
	if !unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := last + 1; n <= events; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s/%d of %d\n\n", n, id, n, events)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			e.lab.note("engine %s: %s left after event %d", e.id, id, n-1)
			return false
		}
		if !e.pause(50*time.Millisecond, gone) {
			e.cut(c, id, n, unframed)
			return false
		}
	}
	e.lab.note("engine %s ends %s after its last event %d", e.id, id, events)
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// cut breaks an answer off: it is reset, so that it doesn't look complete.
func (e *engine) cut(c net.Conn, id string, last int, unframed bool) {
	e.lab.note("engine %s resets the connection of %s after event %d, unframed %t", e.id, id, last, unframed)
	reset(c)
}

// pause waits for a step. It stands still while the group lacks a member, and returns false
// after the stall time, or when the peer has left.
func (e *engine) pause(d time.Duration, gone chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		return false
	}
	for {
		since, stalled := e.stalled()
		e.mu.Lock()
		dead := e.dead
		e.mu.Unlock()
		switch {
		case dead, since >= stallTime:
			return false
		case !stalled:
			return true
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-gone:
			return false
		}
	}
}
