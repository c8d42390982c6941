package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// keyIndex maps the hashes of API keys to organisations. A lookup by hash takes the
// same time for all keys, so its timing reveals nothing about them.
type keyIndex struct {
	// configuration is the configuration that the index was built from.
	configuration *fleet.Configuration
	byHash        map[[sha256.Size]byte]*fleet.Organisation
}

// authenticate looks up the organisation of the bearer key and stores it in r, together
// with the configuration that it came from.
func (g *Gateway) authenticate(r *request) *verdict.Error {
	unauthenticated := verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "the key is missing or unknown")
	scheme, key, found := strings.Cut(r.ctx.GetHeader("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return unauthenticated
	}
	index := g.index()
	organisation := index.byHash[sha256.Sum256([]byte(key))]
	if organisation == nil {
		return unauthenticated
	}
	r.configuration, r.organisation = index.configuration, organisation
	return nil
}

// index returns the key index of the current configuration. The first request after a
// configuration change builds it; concurrent requests may each build their own.
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
