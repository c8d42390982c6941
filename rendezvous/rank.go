package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scoredItem is an item with the name of its node and the node's score for one key.
type scoredItem[T any] struct {
	item  T
	node  string
	score uint64
}

// Rank returns nodes ordered by preference for key, the most preferred one first. The
// order depends only on the key and the names of the nodes. The slice nodes is not
// modified.
func Rank(key string, nodes []string) []string {
	return RankBy(key, nodes, func(node string) string { return node })
}

// RankBy ranks items like Rank, by the node names that nodeName returns for them.
func RankBy[T any](key string, items []T, nodeName func(T) string) []T {
	scored := make([]scoredItem[T], len(items))
	for i, item := range items {
		name := nodeName(item)
		scored[i] = scoredItem[T]{item: item, node: name, score: Score(key, name)}
	}
	slices.SortFunc(scored, func(a, b scoredItem[T]) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]T, len(items))
	for i := range scored {
		ranked[i] = scored[i].item
	}
	return ranked
}

// Spread reorders ranked so that the first item of every domain comes before all other
// items. The order is otherwise preserved.
func Spread[T any](ranked []T, domainOf func(T) string) []T {
	firsts := make([]T, 0, len(ranked))
	var rest []T
	seenDomains := make(map[string]bool)
	for _, item := range ranked {
		if itemDomain := domainOf(item); !seenDomains[itemDomain] {
			seenDomains[itemDomain] = true
			firsts = append(firsts, item)
		} else {
			rest = append(rest, item)
		}
	}
	return append(firsts, rest...)
}

// Score returns the score of node for key. The hash input separates them by a zero byte,
// which does not occur in names of nodes.
func Score(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// ScoreHashes returns the score of a node for a key, given their hashes. It is cheap
// enough for the request path.
func ScoreHashes(keyHash, nodeHash uint32) uint64 {
	x := uint64(keyHash)<<32 | uint64(nodeHash)
	// This is the finalizer of SplitMix64, a 64-bit mix function: each bit of the input
	// changes half of the bits of the result on average.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
