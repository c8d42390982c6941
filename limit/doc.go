// Package limit enforces the organisations' token rate limits across all nodes
// without a platform write per request: each node enforces a share of the limit,
// in proportion to the demand that the nodes exchange with each other. It also
// sheds requests to overloaded services.
package limit
