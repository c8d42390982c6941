package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/settings"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const valid = `{"node":"n1","region":"kl","failureDomain":"kl-a",
"callerAddress":"127.0.0.1:7001","operatorAddress":"127.0.0.1:7002","peerAddress":"127.0.0.1:7003",
"platformAddresses":["127.0.0.1:7000"],"peers":["127.0.0.1:7003"],
"operatorKeys":[{"name":"ops","keySha256":"0000000000000000000000000000000000000000000000000000000000000001"}],
"peerKey":"0123456789abcdef","bounds":{"probeInterval":"1s"}}`

var _ = Describe("Parse", func() {
	It("fills in the defaults", func() {
		// Guards against defaults that no longer satisfy the guarantees.
		s, err := settings.Parse([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Bounds.EvidenceLifetime).To(Equal(2500 * time.Millisecond))
		Expect(s.Bounds.ConfirmationLifetime).To(Equal(9 * time.Second))
	})

	DescribeTable("rejects an invalid setting and names its path", // Guards against a daemon that starts with bounds under which a guarantee fails.
		func(old, updated, field string) {
			text := strings.Replace(valid, old, updated, 1)
			Expect(text).NotTo(Equal(valid))
			_, err := settings.Parse([]byte(text))
			Expect(verdict.Of(err).Field).To(Equal(field))
		},
		Entry("host name as address", "127.0.0.1:7001", "localhost:7001", "callerAddress"),
		Entry("wildcard address", "127.0.0.1:7001", "0.0.0.0:7001", "callerAddress"),
		Entry("shared listener", "127.0.0.1:7002", "127.0.0.1:7001", "operatorAddress"),
		Entry("short peer key", "0123456789abcdef", "0123456789abcde", "peerKey"),
		Entry("host name as seed", `"peers":["127.0.0.1:7003"`, `"peers":["n2:7003"`, "peers[0]"),
		Entry("unknown bound", `"probeInterval"`, `"probeIntervall"`, "bounds.probeIntervall"),
		Entry("number as duration", `"1s"`, `1`, "bounds.probeInterval"),
		Entry("evidence lifetime above the bound of R1", `"probeInterval":"1s"`, `"evidenceLifetime":"2.6s"`, "bounds.evidenceLifetime"),
		Entry("confirmation lifetime above the bound of R8", `"probeInterval":"1s"`, `"confirmationLifetime":"11.1s"`, "bounds.confirmationLifetime"),
		Entry("renewal interval above a third of the lease", `"probeInterval":"1s"`, `"leaseRenewInterval":"1.4s"`, "bounds.leaseRenewInterval"),
		Entry("probe interval equal to the probe timeout", `"1s"`, `"600ms"`, "bounds.probeTimeout"),
		Entry("weight above 1", `"bounds":{`, `"placement":{"downtimeWeight":1.5},"bounds":{`, "placement.downtimeWeight"),
	)
})

// FuzzParse guards against settings that make the parser panic or return an error
// without a verdict, and against an accepted evidence lifetime that violates R1.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		var e *verdict.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("error without a verdict: %v", err)
		}
		if err == nil && s.Bounds.EvidenceLifetime+500*time.Millisecond > 3*time.Second {
			t.Fatalf("evidence lifetime %s accepted although it violates R1", s.Bounds.EvidenceLifetime)
		}
	})
}
