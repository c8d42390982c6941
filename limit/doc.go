// Package limit enforces the organisations' token limits over all nodes without
// a platform write per request: each node enforces a share of the limit, in
// proportion to the demand that peers tell each other.
package limit
