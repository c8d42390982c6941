// Package release turns release notes into configurations: it parses and
// validates a note, merges it into the current configuration, detects conflicts
// with notes accepted since the note's base revision, and writes the result by
// one conditional update. Parse, Apply and Diff are pure; Applier does the
// reading and writing.
package release
