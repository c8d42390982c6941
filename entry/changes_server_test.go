package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/platform/platformtest"
)

// manner is how a backend server answers a request. Callers choose it, and send it in
// mannerHeader.
type manner string

const (
	mannerHeader = "Manner"

	withLength  manner = "length"
	withChunks  manner = "chunks"
	untilClosed manner = "closed"
	// silentHead and silentBody pause before the head, and in the middle of the body.
	silentHead manner = "silent head"
	silentBody manner = "silent body"
	// silentOnce falls silent in the middle of a stream. The server that is to go on with it
	// refuses the request.
	silentOnce manner = "silent once"
	// early answers before the body of the request is read.
	early manner = "early"
	// limiting states a rate, leaving that the server is leaving.
	limiting manner = "limiting"
	leaving  manner = "leaving"
	// busy and misdirected reject the request the first time.
	busy        manner = "busy"
	misdirected manner = "misdirected"
	// breaking and cutting close the connection the first time: before the head, and in the
	// middle of the body or of an event.
	breaking manner = "breaking"
	cutting  manner = "cutting"
)

var manners = []manner{withLength, withChunks, untilClosed, silentHead, silentBody, silentOnce, early, limiting, leaving, busy, misdirected, breaking, cutting}

const (
	// silence is how long a silent server sends nothing.
	silence = time.Second
	// streamEvents is the number of events of each stream.
	streamEvents = 12
	// eventGap is the time between two of them.
	eventGap = 10 * time.Millisecond
	// workTime is the time before the head of a response.
	workTime = 20 * time.Millisecond
)

// changesServer is a backend server that answers in the manner that the request asks for.
type changesServer struct {
	listener net.Listener
	requests *changesRequests
}

// changesRequests are the requests that arrived at any of the servers.
type changesRequests struct {
	mu   sync.Mutex
	seen map[string]bool
}

func newChangesServer(g Gomega, requests *changesRequests) *changesServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &changesServer{listener: listener, requests: requests}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *changesServer) address() string { return s.listener.Addr().String() }

// isFirst reports whether a request arrives for the first time.
func (r *changesRequests) isFirst(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.seen[id]
	r.seen[id] = true
	return first
}

func (s *changesServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.answer(conn, r) {
			return
		}
	}
}

// answer responds to a request and reports whether the connection can carry another one.
func (s *changesServer) answer(conn net.Conn, r *http.Request) bool {
	how := manner(r.Header.Get(mannerHeader))
	if how != early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	time.Sleep(workTime)
	first := s.requests.isFirst(platformtest.RequestID(r.Header))
	if !first && how == silentOnce {
		how = busy
	} else if !first && (how == busy || how == misdirected || how == breaking || how == cutting) {
		how = withLength
	}
	if how == silentHead {
		time.Sleep(silence)
	}
	a := &changesAnswer{conn: conn, how: how, id: platformtest.RequestID(r.Header)}
	switch how {
	case breaking:
		return false
	case busy:
		return a.head(http.StatusServiceUnavailable, platformtest.NotRun+"Retry-After: 0.1\r\nContent-Length: 0\r\n")
	case misdirected:
		return a.head(http.StatusMisdirectedRequest, "Content-Length: 0\r\n")
	}
	open := false
	if strings.HasPrefix(r.URL.Path, "/stream") {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		open = a.stream(after)
	} else {
		open = a.plain()
	}
	if how == early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return open && how != untilClosed && how != silentBody
}

// changesAnswer is one response.
type changesAnswer struct {
	conn net.Conn
	how  manner
	id   string
}

func (a *changesAnswer) write(text string) bool {
	_, err := io.WriteString(a.conn, text)
	return err == nil
}

func (a *changesAnswer) head(status int, fields string) bool {
	return a.write(platformtest.ResponseHead(status, a.id, "s") + fields + "\r\n")
}

// statements returns the headers in which the server states something about itself.
func (a *changesAnswer) statements() string {
	switch a.how {
	case limiting:
		return "Server-Limit: 40\r\n"
	case leaving:
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// plain responds with the ID of the request.
func (a *changesAnswer) plain() bool {
	half := len(a.id) / 2
	switch a.how {
	case withChunks:
		return a.head(200, "Transfer-Encoding: chunked\r\n") && a.write(chunk(a.id)+"0\r\n\r\n")
	case untilClosed:
		return a.head(200, "") && a.write(a.id)
	case silentBody:
		ok := a.head(200, "") && a.write(a.id[:half])
		time.Sleep(silence)
		return ok && a.write(a.id[half:])
	case cutting:
		a.head(200, fmt.Sprintf("Content-Length: %d\r\n", len(a.id)))
		a.write(a.id[:half])
		return false
	}
	return a.head(200, fmt.Sprintf("%sContent-Length: %d\r\n", a.statements(), len(a.id))) && a.write(a.id)
}

// stream responds with the events after the given one.
func (a *changesAnswer) stream(after int) bool {
	chunked := a.how != untilClosed && a.how != silentBody
	fields := a.statements() + "Content-Type: text/event-stream\r\n"
	if chunked {
		fields += "Transfer-Encoding: chunked\r\n"
	}
	if !a.head(200, fields) {
		return false
	}
	for i := after + 1; i <= streamEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, a.id)
		middle := i == streamEvents/2
		if middle && (a.how == silentBody || a.how == silentOnce) {
			time.Sleep(silence)
		}
		if middle && a.how == cutting {
			event = event[:len(event)/2]
		}
		if chunked {
			event = chunk(event)
		}
		if !a.write(event) || (middle && a.how == cutting) {
			return false
		}
		time.Sleep(eventGap)
	}
	return !chunked || a.write("0\r\n\r\n")
}
