// Package backend holds the HTTP clients for backend servers: engines and plain
// servers. Each call is one attempt with its own identity, which the backend
// server echoes, and each error is a *verdict.Error that says whether the
// attempt may have run.
package backend
