// Package measure runs the project's measurements: decision code under load and
// faults with fixed seeds, each policy beside a plain baseline in the same run.
// Every figure in the pages comes from it.
package measure
