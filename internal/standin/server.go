package standin

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
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
	registry *registrar
	faults   faultState

	mu      sync.Mutex
	leaving bool
	running int
	calls   []CallRecord
	last    *plainReply
}

// ServerAnswer is the JSON answer of a plain server.
type ServerAnswer struct {
	Server       string `json:"server"`
	Attempt      string `json:"attempt"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	// BodyHash is the hex SHA-256 of the call's body.
	BodyHash string `json:"bodyHash"`
	// Call numbers the calls that this server ran, from 1.
	Call int `json:"call"`
}

type plainReply struct {
	header http.Header
	body   []byte
}

// NewServer returns a plain server for an entry of the instance list.
func NewServer(instance fleet.Instance, registry *registrar) *Server {
	return &Server{instance: instance, boot: uuid.NewString(), registry: registry}
}

// Handler serves the plain server's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.faults.slowed(s.call))
	mux.HandleFunc("GET /health", s.faults.slowed(func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.report())
	}))
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("POST /control/faults", s.faults.serveSet)
	mux.HandleFunc("POST /control/leave", leaveHandler(s.leave))
	return mux
}

// Record returns all calls so far.
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

// leave shows the server as leaving in its report and in the instance list. It
// still runs the calls that it gets, so that a test sees new work.
func (s *Server) leave(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	instance := s.instance
	s.mu.Unlock()
	instance.State = fleet.InstanceLeaving
	return s.registry.put(ctx, instance)
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		return
	}
	reply, other := s.run(r, body)
	d := s.faults.next()
	s.registry.events.faults(s.instance.ID, r.Header.Get(HeaderAttempt), d, other != nil, false)
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if d.lose {
		sever()
	}
	if other != nil && d.cross {
		reply = other
	}
	if other != nil && d.crossBody {
		reply = &plainReply{header: reply.header, body: other.body}
	}
	sendWhole(w, reply, d)
}

// run records the call and returns its reply and that of the call before.
func (s *Server) run(r *http.Request, body []byte) (own, other *plainReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	record := CallRecord{
		Number: len(s.calls) + 1, At: time.Now(), Method: r.Method, Path: r.URL.Path,
		Attempt: r.Header.Get(HeaderAttempt), Organisation: r.Header.Get(HeaderOrganisation),
		Key: r.Header.Get(HeaderKey), Body: string(body),
	}
	s.calls = append(s.calls, record)
	s.registry.events.add(Event{Kind: EventCall, Instance: s.instance.ID, Call: &record})
	hash := sha256.Sum256(body)
	text, _ := json.Marshal(ServerAnswer{
		Server: s.instance.ID, Attempt: record.Attempt, Organisation: record.Organisation,
		Key: record.Key, BodyHash: hex.EncodeToString(hash[:]), Call: record.Number,
	})
	other = s.last
	header := echo(r.Header)
	digest := sha256.Sum256(text)
	header.Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	s.last = &plainReply{header: header, body: text}
	return s.last, other
}

// echo returns the attempt headers of a request.
func echo(from http.Header) http.Header {
	header := http.Header{}
	for _, name := range echoed {
		if value := from.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	return header
}

// sendWhole sends an answer that is not a stream, with its faults.
func sendWhole(w http.ResponseWriter, reply *plainReply, d distortion) {
	for name, values := range reply.header {
		w.Header()[name] = values
	}
	body := reply.body
	if d.double {
		body = append(append([]byte{}, body...), body...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if d.truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		sever()
	}
	_, _ = w.Write(body)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int, reason verdict.Reason, message string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	answer(w, status, verdict.New(verdict.NotRun, reason, "%s", message).Body(""))
}

// leaveHandler handles POST /control/leave.
func leaveHandler(leave func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := leave(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
