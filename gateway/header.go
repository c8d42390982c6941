package gateway

import (
	"net/http"
	"strings"

	"github.com/rattanlanding/rattanlanding/upstream"
)

// ownPrefix is the prefix of headers that only the system may set.
const ownPrefix = "Rattanlanding-"

// serverHeader returns the header that a plain server receives for a caller's request.
// The API key is not passed on. Method overrides are dropped because they would change
// which calls may be repeated, and Expect because this node handles it.
func serverHeader(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range []string{"Authorization", "Content-Length", "Expect", "X-Http-Method-Override",
		"X-Method-Override", "X-Http-Method"} {
		out.Del(name)
	}
	if _, found := out["User-Agent"]; !found {
		out["User-Agent"] = nil
	}
	return out
}

// callerHeader returns the header that the caller receives for a plain server's response.
func callerHeader(header http.Header) http.Header { return endToEnd(header) }

// endToEnd returns a copy of header without hop-by-hop headers and without the system's
// own.
func endToEnd(header http.Header) http.Header {
	out := upstream.EndToEnd(header)
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	return out
}
