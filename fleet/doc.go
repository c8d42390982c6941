// Package fleet holds the domain types that every other package shares: the
// accepted configuration, the placement of groups on instances, the platform's
// instance list, the reports of backend servers and the members of the system.
// The types are plain data. Values that are published on the blackboard are
// treated as immutable.
package fleet
