package strictjson

import (
	"math"
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
