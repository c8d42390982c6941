package explain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/explain"
)

const logs = `  1.2 edge-1 ts=2026-01-01T00:00:01.000Z node=edge-1 level=info msg=sent request=r1 instance=i-1 group=g1 own=1
noise
ts=2026-01-01T00:00:02.500Z node=edge-2 level=warn msg="instance didn't answer probe; ignoring it until it restarts or is probed again" instance=i-1 group=g1 err="context deadline exceeded"
ts=2026-01-01T00:00:01.800Z node=edge-1 level=info msg="stream failed; resuming it at another engine" request=r1 err="no response from 10.0.0.1:8000: engine stalled: no event with content within the timeout (backend-failed, may-have-run)"
ts=2026-01-01T00:00:01.900Z node=edge-1 level=info msg=sent request=r2 instance=i-1 group=g1
ts=2026-01-01T00:00:30.000Z node=edge-2 level=info msg="sending command" instance=i-1 group=g1
ts=broken node=edge-2 msg=sent request=r1
`

// Guards against a trace in the wrong order, with lines of other requests, or with
// missing or unrelated lines about the group.
func TestTrace(t *testing.T) {
	g := NewWithT(t)
	lines, err := explain.Read(strings.NewReader(logs))
	g.Expect(err).NotTo(HaveOccurred())
	trace, err := explain.Trace(lines, "r1")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(explain.Write(&out, trace, "r1")).To(Succeed())
	g.Expect(out.String()).To(Equal(
		"      +0 ms  edge-1               sent  instance=i-1 group=g1 own=1\n" +
			"    +800 ms  edge-1               stream failed; resuming it at another engine  err=no response from 10.0.0.1:8000: engine stalled: no event with content within the timeout (backend-failed, may-have-run)\n" +
			"   +1500 ms  edge-2                   instance didn't answer probe; ignoring it until it restarts or is probed again  instance=i-1 group=g1 err=context deadline exceeded\n"))
	_, err = explain.Trace(lines, "r9")
	g.Expect(err).To(MatchError(explain.ErrUnknownRequest))
}

// FuzzRead checks that no log makes Read or Trace panic, and that the trace of a request
// that is found isn't empty.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, err := explain.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if trace, err := explain.Trace(lines, "r1"); err == nil && len(trace) == 0 {
			t.Fatal("Trace returned no lines and no error")
		}
	})
}
