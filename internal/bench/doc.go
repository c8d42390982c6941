// Package bench is the load tool: it sends requests to a running system as
// callers do, and reports what came back.
package bench
