// Package fleet defines the domain types that the other packages share: the
// accepted configuration, the placement of groups on instances, the platform's
// instance list, the reports of backend servers and the members of the system.
// The types are plain data. Values that are published on the blackboard must not
// be modified.
package fleet
