// Package release applies release notes to the configuration: it parses and
// validates a note, merges it into the current configuration, detects conflicts
// with notes accepted since the note's base revision, and writes the result with
// one conditional update. Parse, Apply and Diff are pure functions; Applier reads
// from and writes to the platform.
package release
