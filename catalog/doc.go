// Package catalog holds the configuration of a forwarding deployment: which
// requests go to which service, who may send them, how many backend servers may
// run one request, and what the engines of a service can run. A Configuration is
// immutable once it is indexed.
package catalog
