package standin

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Server simulates a server of a plain service.
type Server struct {
	instance fleet.Instance
	boot     string
	platform *platformClient
	faults   faultState

	mu      sync.Mutex
	leaving bool
	// running is the number of calls in progress.
	running int
	calls   []CallRecord
	// lastResponse is the response of the latest call, which a fault may send in
	// place of the next one.
	lastResponse *plainResponse
}

// ServerResponse is the JSON body of a plain server's response.
type ServerResponse struct {
	Server       string `json:"server"`
	Attempt      string `json:"attempt"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	// BodyHash is the hex SHA-256 of the call's body.
	BodyHash string `json:"bodyHash"`
	// Call numbers the calls that this server ran, from 1.
	Call int `json:"call"`
}

// plainResponse is a response that is not a stream.
type plainResponse struct {
	header http.Header
	body   []byte
}

// NewServer returns a plain server for an entry of the instance list.
func NewServer(instance fleet.Instance, platform *platformClient) *Server {
	return &Server{instance: instance, boot: uuid.NewString(), platform: platform}
}

// Handler serves the plain server's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.faults.withDelay(s.call))
	mux.HandleFunc("GET /health", s.faults.withDelay(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.report())
	}))
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("POST /control/faults", s.faults.serveSet)
	mux.HandleFunc("POST /control/leave", leaveHandler(s.leave))
	return mux
}

// Record returns a copy of the server's record.
func (s *Server) Record() ServerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerRecord{Instance: s.instance.ID, Calls: append([]CallRecord{}, s.calls...)}
}

func (s *Server) report() fleet.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := fleet.Report{Instance: s.instance.ID, Boot: s.boot, State: fleet.EngineReady, Running: s.running}
	if s.leaving {
		r.State = fleet.EngineLeaving
	}
	return r
}

// leave marks the server as leaving in its report and in the instance list. It
// still runs the calls that it receives, so that a test detects calls that are
// sent to a leaving server.
func (s *Server) leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	instance := s.instance
	s.mu.Unlock()
	instance.State = fleet.InstanceLeaving
	return s.platform.put(ctx, instance)
}

// call handles a call of any path and method.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	if s.faults.answersEarly() {
		maps.Copy(w.Header(), attemptHeaders(r.Header))
		// The server of net/http always supports both.
		_ = http.NewResponseController(w).EnableFullDuplex()
		_ = http.NewResponseController(w).Flush()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		return
	}
	point := s.faults.crashPoint(string(body))
	response, other := s.recordCall(r, body)
	d := s.faults.next()
	s.platform.events.addFaults(s.instance.ID, r.Header.Get(HeaderAttempt), d, other != nil, false)
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if point != "" {
		s.crashUnder(w, response, point)
	}
	if d.lose {
		abortConnection()
	}
	if other != nil && d.cross {
		response = other
	}
	if other != nil && d.crossBody {
		response = &plainResponse{header: response.header, body: other.body}
	}
	writeWithFaults(w, response, d)
}

// crashUnder crashes the server under a call, whose response may have a head.
func (s *Server) crashUnder(w http.ResponseWriter, response *plainResponse, point CrashPoint) {
	s.platform.events.add(Event{Kind: EventFault, Instance: s.instance.ID, Fault: "crash", Attempt: response.header.Get(HeaderAttempt)})
	if point != CrashAtStart {
		maps.Copy(w.Header(), response.header)
		_ = http.NewResponseController(w).Flush()
	}
	s.faults.crash()
	s.mu.Lock()
	s.boot = uuid.NewString()
	s.mu.Unlock()
	abortConnection()
}

// recordCall records the call and returns its response and that of the call
// before, which is nil for the first call.
func (s *Server) recordCall(r *http.Request, body []byte) (own, other *plainResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	record := CallRecord{
		Number: len(s.calls) + 1, At: time.Now(), Method: r.Method, Path: r.URL.Path,
		Attempt: r.Header.Get(HeaderAttempt), Organisation: r.Header.Get(HeaderOrganisation),
		Key: r.Header.Get(HeaderIdempotencyKey), Body: string(body),
	}
	s.calls = append(s.calls, record)
	s.platform.events.add(Event{Kind: EventCall, Instance: s.instance.ID, Call: &record})
	hash := sha256.Sum256(body)
	text, _ := json.Marshal(ServerResponse{
		Server: s.instance.ID, Attempt: record.Attempt, Organisation: record.Organisation,
		Key: record.Key, BodyHash: hex.EncodeToString(hash[:]), Call: record.Number,
	})
	other = s.lastResponse
	header := attemptHeaders(r.Header)
	digest := sha256.Sum256(text)
	header.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	s.lastResponse = &plainResponse{header: header, body: text}
	return s.lastResponse, other
}

// attemptHeaders returns the attempt headers of a request.
func attemptHeaders(from http.Header) http.Header {
	header := http.Header{}
	for _, name := range echoedHeaders {
		if value := from.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return header
}

// writeWithFaults sends a response that is not a stream, with its injected faults.
func writeWithFaults(w http.ResponseWriter, response *plainResponse, d distortion) {
	for name, values := range response.header {
		w.Header()[name] = values
	}
	body := response.body
	if d.double {
		body = append(append([]byte{}, body...), body...)
	}
	w.Header().Set("Content-Type", "application/json")
	if d.unframed {
		omitFraming(w)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if d.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(body)
}

// omitFraming makes a response end with its connection, without a Content-Length or chunks.
func omitFraming(w http.ResponseWriter) {
	// The server of net/http removes this header and sends no chunks.
	w.Header().Set("Transfer-Encoding", "identity")
}

// writeNotRun refuses a request with the verdict "not run".
func writeNotRun(w http.ResponseWriter, status int, reason verdict.Reason, message string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	writeJSON(w, status, verdict.New(verdict.NotRun, reason, "%s", message).Body(""))
}

// leaveHandler returns the handler of POST /control/leave.
func leaveHandler(leave func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := leave(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
