package backend

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"net/http"
	"strings"
)

// digestAgrees compares body with the sha-256 and sha-512 values of the answer's
// Content-Digest field (RFC 9530). An answer whose header echoes the attempt but
// whose body is another one, doubled or altered is found by it. An answer
// without a known digest agrees.
func digestAgrees(header http.Header, body []byte) bool {
	for _, field := range header.Values("Content-Digest") {
		for entry := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(entry), "=")
			var sum []byte
			switch strings.ToLower(name) {
			case "sha-256":
				s := sha256.Sum256(body)
				sum = s[:]
			case "sha-512":
				s := sha512.Sum512(body)
				sum = s[:]
			default:
				continue
			}
			given, err := base64.StdEncoding.DecodeString(strings.Trim(value, ":"))
			if err != nil || !bytes.Equal(given, sum) {
				return false
			}
		}
	}
	return true
}
