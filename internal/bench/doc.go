// Package bench implements the load generator and the demo: they send requests to a
// running system as callers do, check the responses and report the results.
package bench
