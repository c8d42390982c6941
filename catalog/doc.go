// Package catalog holds the configuration of a forwarding deployment: which
// requests go to which service, who may send them, how often they may be sent
// to a backend server, and what the engines of a service can run. Values are
// immutable once they are indexed.
package catalog
