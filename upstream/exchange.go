package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// largeBody is the size in bytes from which a body is sent beside the wait for
// the answer, since a backend server may answer before it has read all of it.
const largeBody = 16 << 10

// writeTimeout bounds the sending of a request to a server that reads nothing.
const writeTimeout = 5 * time.Second

// maxSkipped bounds the answers to other requests that are skipped, maxSkippedBody the
// body of each in bytes: more cost more than a new connection.
const (
	maxSkipped     = 2
	maxSkippedBody = 1 << 20
)

// ErrForeignAnswer means that the answers on a connection belong to other
// requests.
var ErrForeignAnswer = errors.New("answer belongs to another request")

// Request is a request whose body is in memory.
type Request struct {
	Method string
	// Target is the request target in origin form.
	Target string
	Host   string
	// Header is sent but for what frames the request: its length, Expect and Host.
	Header http.Header
	Body   []byte
	// Mine reports whether an answer belongs to this request.
	Mine func(status int, header http.Header) bool
	// Watch bounds silence while the answer is read.
	Watch Watch
}

// Answer is an answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or below 0 if it isn't stated.
	Length int64
	Body   io.Reader

	conn     *Conn
	response *http.Response
	wrote    chan error
	// done tells that the body was read to its end.
	done bool
}

// Do sends a request on c and reads the head of the answer. The connection is
// closed when ctx ends, and on any error.
func (c *Conn) Do(ctx context.Context, r *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.Close)
	answer, err := c.do(r)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	answer.Body = &bodyReader{answer: answer, stop: stop}
	return answer, nil
}

func (c *Conn) do(r *Request) (*Answer, error) {
	c.watch = r.Watch
	c.progress()
	head := r.head()
	wrote := make(chan error, 1)
	if len(r.Body) < largeBody {
		if err := c.send(append(head, r.Body...)); err != nil {
			return nil, fmt.Errorf("send: %w", err)
		}
		wrote <- nil
	} else {
		go func() { wrote <- c.send(head, r.Body) }()
	}
	// ReadResponse needs the method to know whether there is a body.
	probe := &http.Request{Method: r.Method}
	for range maxSkipped + 1 {
		response, err := c.readHead(probe)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.Mine(response.StatusCode, response.Header) {
			c.progress()
			return &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				conn: c, response: response, wrote: wrote}, nil
		}
		switch _, err := io.CopyN(io.Discard, response.Body, maxSkippedBody+1); {
		case err == nil:
			return nil, ErrForeignAnswer
		case !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("skip foreign answer: %w", err)
		}
	}
	return nil, ErrForeignAnswer
}

// readHead reads the head of an answer within its bound.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.inHead, c.headLeft = true, maxHead
	defer func() { c.inHead = false }()
	return http.ReadResponse(c.reader, request)
}

func (c *Conn) send(parts ...[]byte) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for _, part := range parts {
		if _, err := c.raw.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// head writes the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Content-Length" || name == "Expect" || name == "Host" {
			continue
		}
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyReader reads a body and keeps the connection after its end.
type bodyReader struct {
	answer *Answer
	stop   func() bool
}

// Read implements io.Reader. Any error but io.EOF means that the body is not
// whole.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.answer.done {
		return 0, io.EOF
	}
	n, err := b.answer.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.done = true
		b.answer.finish(b.stop())
	}
	return n, err
}

// Progress tells that a part of the answer has arrived, which ends the silence that
// the watch judges.
func (a *Answer) Progress() { a.conn.progress() }

// Abort closes the connection of an answer that wasn't read to its end.
func (a *Answer) Abort() {
	if !a.done {
		a.conn.Close()
	}
}

// finish keeps the connection if nothing speaks against it.
func (a *Answer) finish(current bool) {
	c := a.conn
	sent := false
	select {
	case err := <-a.wrote:
		sent = err == nil
	default:
	}
	framed := a.Length >= 0 || slices.Contains(a.response.TransferEncoding, "chunked")
	if !current || !sent || !framed || a.response.Close || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idle = idleTime(a.Header.Get("Keep-Alive"), c.pool.idle)
	if c.idle <= 0 {
		c.Close()
		return
	}
	c.watch = nil
	c.pool.keep(c)
}

// idleTime returns how long a connection may be kept by its Keep-Alive header.
func idleTime(header string, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return fallback
}

// hopByHop are headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEnd returns a copy of header without what concerns one connection only.
func EndToEnd(header http.Header) http.Header {
	result := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}
