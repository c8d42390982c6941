// Package measure runs the project's measurements. They run the real decision code
// under load and faults with fixed seeds, and compare each policy with a simple
// baseline in the same run. Every figure in the documentation comes from it.
package measure
