package peer

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
)

// Guards against a node with a different peer key that goes unnoticed, and against one
// log line for each of its calls.
func TestRefusedKeysAreLoggedAtMostOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		handler := authenticate("right", &refusalLog{logger: log.NewLogfmtLogger(&out)},
			http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		call := func(key string) {
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			request.Header.Set("Authorization", "Bearer "+key)
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}
		call("right")
		g.Expect(out.String()).To(BeEmpty())
		for range 3 {
			call("wrong")
		}
		time.Sleep(refusalInterval)
		call("wrong")
		g.Expect(out.String()).To(Equal("level=warn msg=\"peer key refused\" from=192.0.2.1:1234 count=1\n" +
			"level=warn msg=\"peer key refused\" from=192.0.2.1:1234 count=3\n"))
	})
}
