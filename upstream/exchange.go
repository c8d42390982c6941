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

// concurrentBodySize is the size in bytes from which a body is sent while the response is
// awaited, since a backend server may respond before it has read all of the body.
const concurrentBodySize = 16 << 10

// writeTimeout bounds the time to send a request to a server that doesn't read it.
const writeTimeout = 5 * time.Second

// Limits of responses to other requests that are skipped. Reading more costs more than a
// new connection.
const (
	// maxForeignResponses is the number of responses skipped.
	maxForeignResponses = 2
	// maxForeignBody is the largest size of each of their bodies in bytes.
	maxForeignBody = 1 << 20
)

// ErrForeignResponse is returned if the responses on a connection belong to other
// requests.
var ErrForeignResponse = errors.New("response belongs to another request")

// errInvalidStatus is returned for a status below 100, which net/http reads but doesn't
// write.
var errInvalidStatus = errors.New("invalid status")

// Request is a request whose body is in memory, in parts.
type Request struct {
	Method string
	// Target is the request target in origin form.
	Target string
	Host   string
	// Header is sent except Content-Length, Expect and Host.
	Header http.Header
	Body   [][]byte
	// Retain keeps the body until the returned function was called, since it may still be
	// sent after the response was read; nil if nothing frees it.
	Retain func() (release func())
	// IsOwn reports whether a response belongs to this request.
	IsOwn func(status int, header http.Header) bool
	// Watch detects stalls while the response is read; nil means no timeout.
	Watch Watch
	// Memory is the memory for large heads; nil means no limit.
	Memory Memory
}

// Response is a response whose body is yet to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or below 0 if it is unknown.
	Length int64
	Body   io.Reader
	// Early is true if the head arrived before the request had been sent.
	Early bool

	conn     *Conn
	response *http.Response
	sent     chan error
	// complete is true once the body was read to its end.
	complete bool
}

// Do sends a request on c and reads the head of the response. The connection is closed
// when ctx ends, and on any error.
func (c *Conn) Do(ctx context.Context, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, c.Close)
	response, err := c.do(r)
	if err != nil {
		stop()
		c.head.release()
		c.Close()
		return nil, err
	}
	response.Body = &bodyReader{response: response, stop: stop}
	return response, nil
}

func (c *Conn) do(r *Request) (*Response, error) {
	c.watch, c.head.memory = r.Watch, r.Memory
	c.markProgress()
	head := r.head()
	sent := make(chan error, 1)
	if r.length() < concurrentBodySize {
		for _, part := range r.Body {
			head = append(head, part...)
		}
		if err := c.send(head); err != nil {
			return nil, fmt.Errorf("send request: %w", err)
		}
		sent <- nil
	} else {
		release := func() {}
		if r.Retain != nil {
			release = r.Retain()
		}
		go func() {
			defer release()
			sent <- c.send(append([][]byte{head}, r.Body...)...)
		}()
	}
	// ReadResponse needs the method to determine whether there is a body.
	httpRequest := &http.Request{Method: r.Method}
	for range maxForeignResponses + 1 {
		response, err := c.readHead(httpRequest)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode < 100 {
			return nil, fmt.Errorf("read response: %w %d", errInvalidStatus, response.StatusCode)
		}
		if response.StatusCode < 200 {
			continue
		}
		if r.IsOwn(response.StatusCode, response.Header) {
			c.markProgress()
			return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
				Early: len(sent) == 0, conn: c, response: response, sent: sent}, nil
		}
		c.desynchronised = true
		switch _, err := io.CopyN(io.Discard, response.Body, maxForeignBody+1); {
		case err == nil:
			return nil, ErrForeignResponse
		case !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("skip response to another request: %w", err)
		}
	}
	return nil, ErrForeignResponse
}

// readHead reads the head of a response.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.inHead = true
	c.head.start()
	defer func() { c.inHead = false }()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.head.failed != nil {
		err = c.head.failed
	}
	return response, err
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

// length returns the length of the body in bytes.
func (r *Request) length() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	length := r.length()
	var b bytes.Buffer
	b.Grow(1024 + min(length, concurrentBodySize))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Content-Length" || name == "Expect" || name == "Host" {
			continue
		}
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyReader reads the body of a response and recycles the connection at its end.
type bodyReader struct {
	response *Response
	stop     func() bool
}

// Read implements io.Reader. Any error except io.EOF means that the body is incomplete.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.response.complete {
		return 0, io.EOF
	}
	n, err := b.response.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.complete = true
		b.response.recycle(b.stop())
	}
	return n, err
}

// Progress records that a part of the response has arrived, which restarts the time that
// the watch gets. A response that was read to its end has left its connection to other requests.
func (r *Response) Progress() {
	if !r.complete {
		r.conn.markProgress()
	}
}

// EndsWithConnection reports whether the body has neither a length nor chunks. Its end can't
// be told from a connection that a failing server closed, unless the content shows it.
func (r *Response) EndsWithConnection() bool {
	return r.Length < 0 && !slices.Contains(r.response.TransferEncoding, "chunked")
}

// Pending reports whether unread bytes have arrived, or the connection ended.
func (r *Response) Pending() bool { return !r.conn.isQuiet() }

// Abort closes the connection of a response that wasn't read to its end.
func (r *Response) Abort() {
	if !r.complete {
		r.conn.head.release()
		r.conn.Close()
	}
}

// recycle returns the connection to the pool, or closes it if it can't be reused.
func (r *Response) recycle(contextActive bool) {
	c := r.conn
	c.head.release()
	requestSent := false
	select {
	case err := <-r.sent:
		requestSent = err == nil
	default:
	}
	if !contextActive || !requestSent || r.EndsWithConnection() || r.response.Close || c.desynchronised || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.idleTimeout = parseKeepAlive(r.Header.Get("Keep-Alive"), c.pool.idleTimeout)
	if c.idleTimeout <= 0 {
		c.Close()
		return
	}
	c.watch = nil
	c.pool.putIdle(c)
}

// parseKeepAlive returns how long an idle connection may be kept according to its
// Keep-Alive header, or fallback without a timeout there.
func parseKeepAlive(header string, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return fallback
}

// hopByHop are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEnd returns a copy of header without the hop-by-hop headers, including those
// named by the Connection header.
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
