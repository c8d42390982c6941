package operator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/settings"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// Limits of a connection; see the fields of http.Server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	// writeTimeout is longer than release.DefaultTimeout, so that the response
	// to an applied note can still be sent.
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// operatorKey is the gin context key that holds the authenticated operator's
// name.
const operatorKey = "operator"

// Notes applies and previews release notes. release.Applier implements it.
type Notes interface {
	Apply(ctx context.Context, note release.Note, operator string) (release.Result, error)
	Preview(ctx context.Context, note release.Note) (release.Preview, error)
}

// Config configures the handler. Node, Board and Notes are required.
type Config struct {
	// Node is this node's name.
	Node string
	// Keys are the operators' keys; without one all requests are refused.
	Keys  []settings.OperatorKey
	Board *blackboard.Board
	Notes Notes
	// EvidenceLifetime is the age at which evidence no longer counts in the
	// status; the default is 2.5 s.
	EvidenceLifetime time.Duration
	// Dumpers return additional sections of the state dump, by name. Their
	// results are encoded as JSON and must be safe to read concurrently.
	Dumpers  map[string]func() any
	Registry metrics.Registry
	Logger   log.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults returns c with its zero fields set to the defaults.
func (c Config) withDefaults() Config {
	c.EvidenceLifetime = cmp.Or(c.EvidenceLifetime, settings.Default().Bounds.EvidenceLifetime)
	c.Registry = cmp.Or(c.Registry, metrics.NewRegistry())
	c.Logger = cmp.Or(c.Logger, log.NewNopLogger())
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// handler handles the operators' requests.
type handler struct {
	cfg  Config
	keys []hashedKey
}

// hashedKey is an operator key with its decoded hash.
type hashedKey struct {
	// name is the operator's name.
	name string
	// hash is the SHA-256 of the key.
	hash []byte
}

// NewHandler returns the operators' HTTP handler. It returns an error if a key
// hash is not hexadecimal.
func NewHandler(cfg Config) (http.Handler, error) {
	cfg = cfg.withDefaults()
	h := &handler{cfg: cfg}
	for _, k := range cfg.Keys {
		hash, err := hex.DecodeString(k.KeySHA256)
		if err != nil {
			return nil, verdict.BadField("operatorKeys."+k.Name, "the key hash is not hex").WithCause(err)
		}
		h.keys = append(h.keys, hashedKey{k.Name, hash})
	}
	return h.routes(), nil
}

// NewServer returns an HTTP server for the operators' address, with time limits.
func NewServer(address string, h http.Handler) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (h *handler) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	// A redirect would be sent before the key is checked.
	engine.RedirectTrailingSlash = false
	engine.Use(gin.CustomRecoveryWithWriter(io.Discard, h.handlePanic), h.authenticate)
	engine.POST("/v1/notes", h.applyNote)
	engine.POST("/v1/notes/diff", h.diffNote)
	engine.GET("/v1/status", h.status)
	engine.GET("/v1/history", h.history)
	engine.GET("/debug/state", h.state)
	engine.GET("/metrics", h.metrics)
	engine.NoRoute(h.notFound)
	engine.NoMethod(h.notFound)
	return engine
}

// handlePanic responds to a request whose handler panicked. The verdict is
// MayHaveRun, because the effect of the request is unknown.
func (h *handler) handlePanic(c *gin.Context, cause any) {
	level.Error(h.cfg.Logger).Log("msg", "panic in handler", "path", c.Request.URL.Path, "cause", cause)
	h.respondError(c, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "internal error"))
}

func (h *handler) notFound(c *gin.Context) {
	h.respondError(c, verdict.New(verdict.NotRun, verdict.ReasonNotFound, "no such path or method"))
}

// authenticate refuses requests without a valid operator key. It compares the key
// with all keys, so that the time taken does not depend on which one matched.
func (h *handler) authenticate(c *gin.Context) {
	token, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	name, matched := "", 0
	for _, k := range h.keys {
		equal := subtle.ConstantTimeCompare(sum[:], k.hash)
		if equal == 1 {
			name = k.name
		}
		matched |= equal
	}
	if !found || token == "" || matched != 1 {
		h.respondError(c, verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "an operator key is required"))
		return
	}
	c.Set(operatorKey, name)
}

func (h *handler) applyNote(c *gin.Context) {
	note, err := readNote(c)
	if err != nil {
		h.respondError(c, err)
		return
	}
	result, err := h.cfg.Notes.Apply(c.Request.Context(), note, c.GetString(operatorKey))
	if err != nil {
		h.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, result)
}

func (h *handler) diffNote(c *gin.Context) {
	note, err := readNote(c)
	if err != nil {
		h.respondError(c, err)
		return
	}
	preview, err := h.cfg.Notes.Preview(c.Request.Context(), note)
	if err != nil {
		h.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, preview)
}

// readNote reads and parses a release note of limited size. Its errors have the
// verdict NotRun, because a note that was not read is not applied.
func readNote(c *gin.Context) (release.Note, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, release.MaxSize))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return release.Note{}, verdict.New(verdict.NotRun, verdict.ReasonTooLarge,
			"the note has more than %d bytes", release.MaxSize)
	case err != nil:
		return release.Note{}, verdict.New(verdict.NotRun, verdict.ReasonBadRequest,
			"the note could not be read").WithCause(err)
	}
	return release.Parse(data)
}

// respondError responds with the error and its verdict, and aborts the request.
func (h *handler) respondError(c *gin.Context, err error) {
	e := verdict.Of(err)
	request := uuid.NewString()
	level.Info(h.cfg.Logger).Log("msg", "request refused", "request", request,
		"path", c.Request.URL.Path, "operator", c.GetString(operatorKey), "err", e)
	c.Header(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		c.Header("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.AbortWithStatusJSON(e.Status(), e.Body(request))
}
