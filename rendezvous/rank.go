package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a node with its weight for one key.
type scored struct {
	node  string
	score uint64
}

// Rank returns nodes ordered by preference for key, best first. The order
// depends only on the key and the names, not on the order of nodes, which stays
// unmodified.
func Rank(key string, nodes []string) []string {
	weighted := make([]scored, len(nodes))
	for i, node := range nodes {
		weighted[i] = scored{node: node, score: weight(key, node)}
	}
	slices.SortFunc(weighted, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]string, len(nodes))
	for i := range weighted {
		ranked[i] = weighted[i].node
	}
	return ranked
}

// weight hashes key and node with a separator that occurs in neither.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
