package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// keyIndex finds the organisation of a key hash. Lookups by hash cost the same
// for all keys and reveal nothing about the keys by their time.
type keyIndex struct {
	configuration *fleet.Configuration
	byHash        map[[sha256.Size]byte]*fleet.Organisation
}

// authenticate sets the organisation that the bearer key belongs to.
func (g *Gateway) authenticate(r *request) *verdict.Error {
	refused := verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "the key is missing or unknown")
	scheme, key, found := strings.Cut(r.ctx.GetHeader("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return refused
	}
	index := g.index()
	organisation := index.byHash[sha256.Sum256([]byte(key))]
	if organisation == nil {
		return refused
	}
	r.configuration, r.organisation = index.configuration, organisation
	return nil
}

// index returns the index of the newest configuration and builds it on the first
// request after a change. Requests at that moment may build it twice.
func (g *Gateway) index() *keyIndex {
	configuration := g.Board.Configuration.Load()
	if index := g.keys.Load(); index != nil && index.configuration == configuration {
		return index
	}
	index := &keyIndex{configuration: configuration, byHash: make(map[[sha256.Size]byte]*fleet.Organisation)}
	for i := range configuration.Organisations {
		organisation := &configuration.Organisations[i]
		for _, text := range organisation.KeyHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text[:min(len(text), 2*sha256.Size)])); err == nil && n == len(hash) {
				index.byHash[hash] = organisation
			}
		}
	}
	g.keys.Store(index)
	return index
}
