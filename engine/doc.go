// Package engine describes the backend servers that the platform lists and the
// groups they report to be in. A Roster is derived from the platform's list
// alone; it is immutable.
package engine
