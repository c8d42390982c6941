// Package operator implements a node's HTTP API for operators: release notes,
// status, history, a dump of the process's state, and metrics. Every request must
// have an operator key.
package operator
