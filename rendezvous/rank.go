package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is an item with its node's name and weight for one key.
type scored[T any] struct {
	item  T
	node  string
	score uint64
}

// Rank returns nodes ordered by preference for key, best first. The order
// depends only on the key and the names, not on the order of nodes, which stays
// unmodified.
func Rank(key string, nodes []string) []string {
	return RankBy(key, nodes, func(node string) string { return node })
}

// RankBy is Rank for items that node names.
func RankBy[T any](key string, items []T, node func(T) string) []T {
	weighted := make([]scored[T], len(items))
	for i, item := range items {
		name := node(item)
		weighted[i] = scored[T]{item: item, node: name, score: Score(key, name)}
	}
	slices.SortFunc(weighted, func(a, b scored[T]) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]T, len(items))
	for i := range weighted {
		ranked[i] = weighted[i].item
	}
	return ranked
}

// Spread returns ranked with the first item of each domain before a second one
// of any. Otherwise the order stays.
func Spread[T any](ranked []T, domain func(T) string) []T {
	firsts := make([]T, 0, len(ranked))
	var rest []T
	seen := make(map[string]bool)
	for _, item := range ranked {
		if name := domain(item); !seen[name] {
			seen[name] = true
			firsts = append(firsts, item)
		} else {
			rest = append(rest, item)
		}
	}
	return append(firsts, rest...)
}

// Score returns the weight of node for key. The separator occurs in no node's
// name.
func Score(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// ScoreKeys returns the weight of a node for a key, both given as hashes. It is
// cheap enough for the request path.
func ScoreKeys(key, node uint32) uint64 {
	x := uint64(key)<<32 | uint64(node)
	// The finalizer of a 64-bit mix: each bit of the input changes half of the
	// result.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
