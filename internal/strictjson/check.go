package strictjson

import (
	"math"
	"net/netip"
	"regexp"
)

var (
	// namePattern matches 1 to 63 lower case letters, digits and dashes, of which the
	// first is not a dash.
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// hashPattern matches a SHA-256 in lower case hexadecimal.
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// CheckName adds a problem if name does not consist of 1 to 63 lower case letters,
// digits and dashes, or begins with a dash.
func (p *Problems) CheckName(field, name string) {
	if !namePattern.MatchString(name) {
		p.Add(field, "must match %s", namePattern)
	}
}

// CheckHash adds a problem if text is not a SHA-256 in lower case hexadecimal, the
// form in which keys are stored.
func (p *Problems) CheckHash(field, text string) {
	if !hashPattern.MatchString(text) {
		p.Add(field, "must be a hex SHA-256 in lower case")
	}
}

// CheckRange adds a problem if value is below low, above high or NaN.
func (p *Problems) CheckRange(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		p.Add(field, "must be from %.10g to %.10g", low, high)
	}
}

// CheckAddress adds a problem if text is not an "IP:port" of one machine. Host names
// are rejected because a process must run without DNS, and wildcard addresses because
// the address is advertised to others.
func (p *Problems) CheckAddress(field, text string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		p.Add(field, `must be "IP:port" with a literal IP address`)
	case address.Port() == 0:
		p.Add(field, "must have a port from 1 to 65535")
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		p.Add(field, "must be the address of one machine")
	}
}
