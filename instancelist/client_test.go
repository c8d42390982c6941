package instancelist_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/instancelist"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/object"
)

func TestInstanceList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "instancelist")
}

// callTimeout is long enough for a slow test machine.
const callTimeout = 20 * time.Second

var _ = Describe("Client", func() {
	It("returns a changed list and reports an unchanged one", func() {
		// Guards against a missed change, and against an unchanged list that is
		// returned as a new one, which would cause needless calls.
		const at = "127.0.83.1:18301"
		set, err := standin.Start(context.Background(), standin.Config{
			Platform: &standin.PlatformConfig{Address: at, ListLagMs: 50},
			Servers: []standin.Pool{{
				Pool: "desk", Count: 2, FailureDomain: "arima", FirstAddress: "127.0.83.2:18301",
			}},
		}, log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(set.Close)
		c := instancelist.NewClient(object.ClientConfig{Addresses: []string{at}, Timeout: callTimeout})
		DeferCleanup(c.Close)

		list, ok, err := c.Instances(context.Background(), 0, callTimeout)
		Expect(ok, err).To(BeTrue())
		Expect(list.Instance("desk-1")).To(HaveValue(Equal(fleet.Instance{
			ID: "desk-1", Address: "127.0.83.3:18301", Pool: "desk", FailureDomain: "arima", State: fleet.InstanceLive,
		})))
		_, ok, err = c.Instances(context.Background(), list.Version, time.Millisecond)
		Expect(ok, err).To(BeFalse())
		set.Platform.SetFaults(standin.PlatformFaults{Down: true})
		_, _, err = c.Instances(context.Background(), 0, 0)
		Expect(err).To(MatchError(object.ErrUnavailable))
	})
})
