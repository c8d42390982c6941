package replica

import (
	"strings"

	"github.com/rattanlanding/rattanlanding/object"
)

// Names of documents.
const (
	// ConfigurationName is the document of the accepted configuration. Its version is
	// the configuration revision.
	ConfigurationName = "config/current"
	// InstancesName is the document of the instance list.
	InstancesName = "instances"
	// PlacementKind is the object kind of placements.
	PlacementKind = "placement"

	// placementPrefix is the prefix of the names of placement documents.
	placementPrefix = PlacementKind + "/"
)

// ConfigurationKey is the key of the object that stores the configuration.
var ConfigurationKey = object.Key{Kind: "config", Name: "current"}

// PlacementName returns the document name of a fabric domain's placement.
func PlacementName(fabricDomain string) string { return placementPrefix + fabricDomain }

// fabricDomainOf returns the fabric domain of a placement document. The second result
// is false for other documents.
func fabricDomainOf(name string) (string, bool) { return strings.CutPrefix(name, placementPrefix) }
