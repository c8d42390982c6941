// Package placement decides which instances form the groups of one fabric
// domain and applies the decision. Plan is a pure function of the observed state
// with a pluggable repair policy; Reconciler runs it for the shards whose lease
// this node holds. Every plan is stored with one conditional update
// (compare-and-swap) on the version that was read, so two lease holders cannot
// both succeed.
package placement
