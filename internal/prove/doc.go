// Package prove checks histories of concurrent runs of the real processes under
// faults. Each guarantee is a point with a check over what callers, operators
// and backend servers recorded. The runs are in the package's tests.
package prove
