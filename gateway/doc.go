// Package gateway serves the callers' HTTP API: completions by model services, calls
// to plain services, and the addresses of entry instances. Requests read only
// blackboard snapshots and take no lock that a controller holds.
package gateway
