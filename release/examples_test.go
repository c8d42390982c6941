package release_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
)

var _ = DescribeTable("examples", // Guards against example notes that the parser refuses or whose key hashes are not those of the example keys.
	func(file string, groups, instances, organisations int) {
		text, err := os.ReadFile(filepath.Join("..", "examples", file))
		Expect(err).NotTo(HaveOccurred())
		c := mustApply(fleet.Configuration{}, string(text))
		total := 0
		for _, g := range c.Groups {
			total += g.Size
		}
		Expect(c.Groups).To(HaveLen(groups))
		Expect(total).To(Equal(instances))
		Expect(c.Organisations).To(HaveLen(organisations))
		for _, o := range c.Organisations {
			sum := sha256.Sum256([]byte("example-key-" + o.Name))
			Expect(o.KeyHashes).To(ConsistOf(hex.EncodeToString(sum[:])))
		}
	},
	Entry(nil, "maracas.json", 15, 60, 10),
	Entry(nil, "lencana.json", 15, 60, 10),
	Entry(nil, "maracas-demo.json", 4, 12, 3),
)
