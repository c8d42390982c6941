// Package engine describes the backend servers in the platform's instance list, the
// groups that they report to be in, and the commands to them. A Roster is derived from
// the instance list alone; it is immutable.
package engine
