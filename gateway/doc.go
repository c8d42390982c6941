// Package gateway is the callers' HTTP interface: completions by model services,
// calls to plain services, and the addresses of entry instances. It reads only
// blackboard snapshots and takes no lock that a controller holds.
package gateway
