package backend

import (
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"net/http"
	"strings"
)

// digestMatches reports whether body matches the sha-256 and sha-512 values of the
// response's Content-Digest field (RFC 9530). This detects a response whose header
// echoes the attempt but whose body was replaced, doubled or altered. It returns true
// for a response without a digest of a known algorithm.
func digestMatches(header http.Header, body []byte) bool {
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
