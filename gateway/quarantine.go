package gateway

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// checkQuarantine returns an error if the request crashes engines. Its verdict is NotRun, as
// that of the refused attempt.
func (g *Gateway) checkQuarantine(subject quarantine.Request) *verdict.Error {
	q := g.Quarantine.Match(subject)
	if q == nil {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonRequestQuarantined, "request in quarantine until %s: %s",
		q.Until.UTC().Format(time.RFC3339), q.Evidence())
}

// identify returns an ID that is equal for completions that are the same, streamed or not.
func (cr *completionRequest) identify(organisation string) (string, error) {
	fields := maps.Clone(cr.fields)
	delete(fields, "stream")
	// The encoder sorts the fields and removes white space.
	body, err := json.Marshal(fields)
	if err != nil {
		return "", fmt.Errorf("encode fields: %w", err)
	}
	return identity(body, organisation), nil
}

// identify returns an ID that is equal for calls that are the same, whatever their key.
func (p *plainCall) identify() string {
	return identity(p.body, p.organisation.Name, p.service.Name, p.ctx.Request.Method, p.path, p.ctx.Request.URL.RawQuery)
}

// identity returns a hash of fields and a body.
func identity(body []byte, fields ...string) string {
	d := xxhash.New()
	for _, field := range fields {
		_, _ = d.WriteString(strconv.Quote(field))
	}
	_, _ = d.Write(body)
	return hex.EncodeToString(d.Sum(nil))
}
