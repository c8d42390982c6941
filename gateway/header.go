package gateway

import (
	"net/http"
	"strings"

	"github.com/rattanlanding/rattanlanding/upstream"
)

// ownPrefix marks headers that only the system sets.
const ownPrefix = "Rattanlanding-"

// forwarded returns the caller's header as a plain server gets it. The key stays
// here. A method override would change which calls may be repeated, and Expect
// is answered by this node.
func forwarded(header http.Header) http.Header {
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

// answered returns a plain server's header as the caller gets it.
func answered(header http.Header) http.Header { return endToEnd(header) }

// endToEnd copies header without hop-by-hop headers and those of the system.
func endToEnd(header http.Header) http.Header {
	out := upstream.EndToEnd(header)
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			delete(out, name)
		}
	}
	return out
}
