package entry

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/mesh"
)

var _ = Describe("chooseAddresses", func() {
	nodes := func(n int) (list []*mesh.Node) {
		for i := range n {
			capacity := uint16(19)
			if i < 6 {
				capacity = 80
			}
			list = append(list, &mesh.Node{Name: fmt.Sprint("n", i), CallerAddress: fmt.Sprint("a", i),
				FailureDomain: fmt.Sprint("z", i%3), Capacity: capacity})
		}
		return list
	}

	It("returns all nodes of a small deployment", func() {
		// Guards against callers that use only the nodes of their own domain, which would
		// load the nodes unevenly.
		Expect(chooseAddresses(nodes(9), "z0", rand.Float64)).To(HaveLen(9))
	})

	It("distributes the callers of a large deployment by the nodes' processor time", func() {
		// Guards against nodes whose address is never handed out because of their place in
		// the list, and against small nodes that receive as much load as large ones.
		rng := rand.New(rand.NewPCG(1, 1))
		listed, first := map[string]int{}, map[string]int{}
		for range 3000 {
			for i, a := range chooseAddresses(nodes(88), fmt.Sprint("z", rng.IntN(3)), rng.Float64) {
				listed[a]++
				if i == 0 {
					first[a]++
				}
			}
		}
		Expect(len(listed)).To(BeNumerically(">=", 30))
		for i := range 6 {
			Expect(first[fmt.Sprint("a", i)]).To(BeNumerically(">", 3000/88))
		}
	})

	It("returns other nodes once the active ones are gone", func() {
		// Guards against callers that receive no address after many nodes, among them all
		// active ones, died at once.
		rest := nodes(88)[60:]
		Expect(chooseAddresses(rest, "z0", rand.Float64)).NotTo(BeEmpty())
	})
})
