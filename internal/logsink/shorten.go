package logsink

import "strings"

// maxTextBytes limits a text of unknown origin in a log line.
const maxTextBytes = 160

// Shorten returns a text of unknown origin for use in a log line or an error, without its
// middle if it is long.
func Shorten(text string) string {
	const half = maxTextBytes / 2
	if len(text) > maxTextBytes {
		text = text[:half] + "..." + text[len(text)-half:]
	}
	return strings.ToValidUTF8(text, "?")
}
