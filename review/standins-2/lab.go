package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

type model struct {
	name       string
	size       int
	pace       float64
	load, warm time.Duration
}

// lab is one run of a case: a store, engines and processes of the system.
type lab struct {
	dir, prefix string
	trouble     bool
	store       *store
	nodes       []*node
	models      map[string]model
	started     time.Time
	closing     sync.Once

	mu          sync.Mutex
	record      *bufio.Writer
	file        *os.File
	engines     map[string]*engine
	engineCount int
	runs        map[string][]string
	// traffic is true once a client has sent a request.
	traffic bool
	// violations are the broken rules that engines have seen.
	violations []string
	answers    map[string][]byte
}

// newLab prepares a run that writes its record to a file.
func newLab(recordFile string) (*lab, error) {
	l := &lab{prefix: freePrefix(), trouble: os.Getenv("TROUBLE") != "0", engines: map[string]*engine{}, runs: map[string][]string{},
		answers: map[string][]byte{}, started: time.Now(), models: map[string]model{}}
	var err error
	if l.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		return nil, err
	}
	if l.file, err = os.Create(recordFile); err != nil {
		return nil, err
	}
	l.record = bufio.NewWriter(l.file)
	if l.store, err = newStore(l.prefix + ".1:0"); err != nil {
		return nil, err
	}
	l.store.noted = l.note
	return l, nil
}

// close ends all processes. Only the first call does.
func (l *lab) close() { l.closing.Do(l.end) }

func (l *lab) end() {
	for _, n := range l.nodes {
		n.stop()
	}
	l.mu.Lock()
	_ = l.record.Flush()
	_ = l.file.Close()
	l.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs kept in", l.dir)
	}
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// say writes a line to the record and to the output.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// violation records a broken rule that an engine has seen.
func (l *lab) violation(format string, args ...any) {
	l.say(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *lab) violated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.violations)
}

// loadTime returns how long a load from the weight store takes: a tenth before the first request.
func (l *lab) loadTime(m model) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.traffic {
		return m.load
	}
	return m.load / 10
}

func (l *lab) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic = true
}

func (l *lab) engine(id string) *engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[id]
}

// ran records that an engine began to run a request.
func (l *lab) ran(request, engine string) {
	l.note("engine %s runs %s", engine, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request] = append(l.runs[request], engine)
}

// made records the body of an engine's whole answer.
func (l *lab) made(request, engine string, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[request+"@"+engine] = answer
}

// waitFor waits until a condition holds.
func (l *lab) waitFor(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}

// openHeads returns the heads of the open groups.
func (l *lab) openHeads() (heads []*engine) {
	l.mu.Lock()
	all := make([]*engine, 0, len(l.engines))
	for _, e := range l.engines {
		all = append(all, e)
	}
	l.mu.Unlock()
	for _, e := range all {
		e.mu.Lock()
		if !e.dead && e.group != nil && e.group.Rank == 0 && e.group.State == "open" {
			heads = append(heads, e)
		}
		e.mu.Unlock()
	}
	return heads
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is true if the answer ended as HTTP/1.1 requires for a complete one.
	whole bool
	err   error
	took  time.Duration
}

// send sends a request on a new connection and reads the answer.
func send(address, method, host, path string, header map[string]string, body []byte, limit time.Duration) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return exchange(c, bufio.NewReader(c), method, host, path, header, body, limit, began)
}

func exchange(c net.Conn, reader *bufio.Reader, method, host, path string, header map[string]string, body []byte, limit time.Duration, began time.Time) (a answer) {
	defer func() { a.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(limit))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for k, v := range header {
		text += k + ": " + v + "\r\n"
	}
	if method != http.MethodGet || len(body) > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+string(body)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a = answer{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	a.whole = a.err == nil
	return a
}
