// Package prove runs the real processes under concurrent load and injected
// faults, and checks the recorded histories. Each guarantee is a point with a
// check over the records of callers, operators and backend servers. The runs are
// in the package's tests.
package prove
