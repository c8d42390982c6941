// Package forward is the request path: it matches a request to a route, checks
// its key, waits for a place at a backend server, sends it there, and repeats or
// resumes it where its kind allows. Choices are pure functions in files of their
// own; Table and Dispatcher hold the state that they read.
package forward
