package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// backendServer returns a backend server. It reads each request and answers with as many
// bytes as the query's size, or with a stream of as many events as its events. The function
// sets the headers by which the system knows the response.
func backendServer(identify func(response, request http.Header)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		identify(w.Header(), r.Header)
		if events, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range events {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("d", 1<<10)); err != nil {
					return
				}
				// If it fails, the next write does too.
				_ = http.NewResponseController(w).Flush()
			}
			return
		}
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(body[:min(size, len(body))])
	}
}
