package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// case6: a plain answer without a length whose connection is reset looks complete if the body of
// its request is still being sent.
//
// Two of four plain servers answer long requests before they have read them, as RULES.md says that
// engines may; these answers, fewer than one in twenty, have no length. That lasts for 5.5 s at a
// time. Three of four connections of one node on which such an answer arrives are reset.
func case6(l *lab) (bool, error) {
	const (
		rounds     = 8
		uploads    = 4
		short      = 96
		bodyBytes  = 4 << 20
		answerSize = 64 << 10
	)
	m := model{"daka510000", 2, 1, 12 * time.Second, 1100 * time.Millisecond}
	if err := l.startSystem([]model{m}, 2, 4, 3, 1, nil); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var lock sync.Mutex
	open := map[net.Conn]string{}
	var unframed, answers atomic.Int64
	var until atomic.Int64
	for _, e := range l.plainServers()[:2] {
		e.early = func(e *engine, c net.Conn, r *http.Request) bool {
			answers.Add(1)
			if r.ContentLength < 1<<20 || time.Now().UnixNano() >= until.Load() {
				return false
			}
			id := r.Header.Get("X-Rattanlanding-Request-Id")
			unframed.Add(1)
			l.ran(id, e.id)
			answer := []byte(strings.Repeat(id+" charged\n", answerSize/(len(id)+9)))
			l.made(id, e.id, answer)
			l.note("server %s answers %s before it has read its %d bytes, without a length: %d bytes", e.id, id, r.ContentLength, len(answer))
			lock.Lock()
			open[c] = id
			lock.Unlock()
			defer func() {
				lock.Lock()
				delete(open, c)
				lock.Unlock()
			}()
			head := "HTTP/1.1 200 OK\r\nX-Rattanlanding-Request-Id: " + id + "\r\nX-Rattanlanding-Server-Signature: " + signature(id, answer) + "\r\n\r\n"
			if _, err := io.WriteString(c, head); err != nil {
				return true
			}
			// The work takes 0.4 s; then the rest of the request is read.
			for part := range 8 {
				from, to := part*len(answer)/8, (part+1)*len(answer)/8
				if _, err := c.Write(answer[from:to]); err != nil {
					l.note("server %s: the connection of %s broke after %d bytes: %v", e.id, id, from, err)
					return true
				}
				time.Sleep(50 * time.Millisecond)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			l.note("server %s has sent the whole answer to %s", e.id, id)
			return true
		}
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	broken := false
	for round := range rounds {
		if round%4 == 0 {
			time.Sleep(5 * time.Second)
			until.Store(time.Now().Add(5500 * time.Millisecond).UnixNano())
		}
		var wg sync.WaitGroup
		var mutex sync.Mutex
		whole, failed, truncated := 0, 0, 0
		upload := func() {
			id := newID()
			l.note("client sends %s, %d bytes, to %s", id, len(body), l.nodes[0].name)
			header := map[string]string{"X-Rattanlanding-Request-Id": id, "Authorization": key, "X-Rattanlanding-Deadline-Ms": "1000"}
			a := send(l.nodes[0].caller, "POST", "ficu95.example", "/charge/2f", header, body, 2*time.Second)
			l.note("client got for %s: status %d whole %t bytes %d err %v", id, a.status, a.whole, len(a.body), a.err)
			mutex.Lock()
			defer mutex.Unlock()
			made := l.answerTo(id)
			switch {
			case a.status == 200 && a.whole && !bytes.Equal(a.body, made):
				truncated++
				broken = true
				l.say("round %d: MIXED broken: %s got a complete answer with status 200 of %d bytes; the engine's whole body has %d", round, id, len(a.body), len(made))
			case a.status == 200 && a.whole:
				whole++
			default:
				failed++
			}
		}
		for range uploads {
			wg.Go(upload)
		}
		for i := range short {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 12 * time.Millisecond)
				id := newID()
				l.note("client sends the lookup %s to %s", id, l.nodes[i%3].name)
				header := map[string]string{"X-Rattanlanding-Request-Id": id, "Authorization": key, "X-Rattanlanding-Deadline-Ms": "1000"}
				a := send(l.nodes[i%3].caller, "GET", "ficu95.example", fmt.Sprintf("/status/%x", i), header, nil, 2*time.Second)
				l.note("client got for the lookup %s: status %d whole %t bytes %d err %v", id, a.status, a.whole, len(a.body), a.err)
				if a.status == 200 && a.whole && !bytes.Equal(a.body, l.answerTo(id)) {
					broken = true
					l.say("round %d: MIXED broken: lookup %s", round, id)
				}
			})
		}
		if l.trouble {
			time.Sleep(250 * time.Millisecond)
			// Three of four connections of one of three nodes are reset.
			lock.Lock()
			n := 0
			for c, id := range open {
				if n++; n <= len(open)*3/4 {
					l.note("the connection of %s between node and server is reset", id)
					reset(c)
				}
			}
			lock.Unlock()
		}
		wg.Wait()
		l.say("round %d: of %d long requests %d whole, %d failed, %d truncated", round, uploads, whole, failed, truncated)
	}
	l.say("%d of %d answers of the two servers had no length", unframed.Load(), answers.Load())
	return broken, nil
}

// plainServers returns the plain servers.
func (l *lab) plainServers() (list []*engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.engines {
		if e.domain == "" {
			list = append(list, e)
		}
	}
	return list
}

// answerTo returns the whole body of the last answer that an engine made to a request.
func (l *lab) answerTo(id string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs[id]
	if len(runs) == 0 {
		return nil
	}
	return l.answers[id+"@"+runs[len(runs)-1]]
}
