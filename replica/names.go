package replica

import (
	"strings"

	"github.com/rattanlanding/rattanlanding/object"
)

// Names of documents.
const (
	// ConfigurationName is the document of the accepted configuration; its
	// version is the revision.
	ConfigurationName = "config/current"
	// InstancesName is the document of the instance list.
	InstancesName = "instances"
	// PlacementKind is the object kind of placements.
	PlacementKind = "placement"

	placementPrefix = PlacementKind + "/"
)

// ConfigurationKey is the object that holds the configuration.
var ConfigurationKey = object.Key{Kind: "config", Name: "current"}

// PlacementName returns the document name of a fabric domain's placement.
func PlacementName(fabricDomain string) string { return placementPrefix + fabricDomain }

// fabricDomainOf returns the fabric domain of a placement document.
func fabricDomainOf(name string) (string, bool) { return strings.CutPrefix(name, placementPrefix) }
