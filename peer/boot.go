package peer

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// bootTimeDigits is the number of hexadecimal digits of the start timestamp in a
// boot id. With a fixed width, boot ids sort by start time.
const bootTimeDigits = 16

// NewBoot returns a boot id for a process started at start: its Unix time in
// nanoseconds as fixed-width hexadecimal, a dash and a random part.
func NewBoot(start time.Time) string {
	random := strings.ReplaceAll(uuid.NewString(), "-", "")[:8]
	return fmt.Sprintf("%0*x-%s", bootTimeDigits, uint64(start.UnixNano()), random)
}

// validBoot reports whether boot has the form made by NewBoot.
func validBoot(boot string) bool {
	if len(boot) <= bootTimeDigits+1 || boot[bootTimeDigits] != '-' {
		return false
	}
	return strings.Trim(boot[:bootTimeDigits], "0123456789abcdef") == ""
}

// newerBoot reports whether boot a was started later than boot b. Ties are broken
// by the random part, so that all nodes agree.
func newerBoot(a, b string) bool { return a > b }
