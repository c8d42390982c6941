// Package placement decides which instances form the groups of one fabric
// domain and carries the decision out. Plan is a pure function over observed
// state with a replaceable repair policy; Reconciler runs it for the shards
// that this node holds. Every plan becomes durable by one conditional update on
// the version that was read, so two holders cannot both succeed.
package placement
