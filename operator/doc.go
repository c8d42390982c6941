// Package operator is the operators' HTTP interface of a node: release notes,
// status, history, a dump of the process's state, and metrics. Every request
// needs an operator key.
package operator
