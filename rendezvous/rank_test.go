package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/rendezvous"
)

func TestRendezvous(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rendezvous")
}

var _ = Describe("Rank", func() {
	It("moves only the keys of a node that leaves, and spreads keys evenly", func() {
		// Guards against nodes that compute different orders, and against keys that
		// move between the remaining nodes when one node leaves.
		nodes := []string{"a", "b", "c", "d", "e"}
		firsts := map[string]int{}
		for i := range 1000 {
			key := fmt.Sprint("key", i)
			ranked := rendezvous.Rank(key, nodes)
			firsts[ranked[0]]++
			remaining := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == "c" })
			slices.Reverse(remaining)
			Expect(rendezvous.Rank(key, remaining)).To(Equal(slices.DeleteFunc(ranked, func(n string) bool { return n == "c" })))
		}
		for _, node := range nodes {
			Expect(firsts[node]).To(BeNumerically("~", 200, 60))
		}
	})
})
