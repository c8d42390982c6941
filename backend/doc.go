// Package backend provides the HTTP clients for backend servers: engines and plain
// servers. Each call is one attempt with its own identity, which the backend server
// echoes in its response. Errors of attempts are *verdict.Error values whose verdict
// says whether the attempt may have run.
package backend
