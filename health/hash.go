package health

import "github.com/cespare/xxhash/v2"

// score is the rendezvous weight of node for key.
func score(key, node string) uint64 {
	return xxhash.Sum64String(key + "\x00" + node)
}
