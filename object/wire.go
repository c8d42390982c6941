package object

import (
	"fmt"
	"strconv"
	"strings"
)

// ListBody is the JSON body of the response to a list or a watch of a kind.
type ListBody struct {
	Cursor  Version    `json:"cursor"`
	Objects []ListItem `json:"objects"`
}

// ListItem is an object in a ListBody.
type ListItem struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// ETag returns the entity tag of a version.
func (v Version) ETag() string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag parses an entity tag that ETag returned.
func ParseETag(tag string) (Version, error) {
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not a version", tag)
	}
	return Version(n), nil
}
