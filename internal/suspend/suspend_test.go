package suspend_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/suspend"
)

// Guards against a total that grows while the machine isn't suspended.
func TestTotalIsConstantWhileRunning(t *testing.T) {
	g := NewWithT(t)
	before := suspend.Total()
	time.Sleep(50 * time.Millisecond)
	g.Expect(suspend.Total()).To(BeNumerically("~", before, 20*time.Millisecond))
}
