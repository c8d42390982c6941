package strictjson

import (
	"math"
	"net/netip"
	"regexp"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// CheckName refuses a name that is not 1 to 63 lower case letters, digits and
// dashes.
func (p *Problems) CheckName(field, name string) {
	if !namePattern.MatchString(name) {
		p.Add(field, "must match %s", namePattern)
	}
}

// CheckHash refuses a text that is not a SHA-256 in the form that keys are
// stored in.
func (p *Problems) CheckHash(field, text string) {
	if !hashPattern.MatchString(text) {
		p.Add(field, "must be a hex SHA-256 in lower case")
	}
}

// CheckRange refuses a value outside of low to high, and NaN.
func (p *Problems) CheckRange(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		p.Add(field, "must be from %.10g to %.10g", low, high)
	}
}

// CheckAddress refuses host names, because a process has to run without name
// service, and wildcard addresses, because others are told the address.
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
