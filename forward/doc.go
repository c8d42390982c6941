// Package forward is the request path: it matches a request to a route, checks
// its key, waits for a slot at a backend server, sends it there, and retries or
// resumes it where its kind allows. Decisions are pure functions in files of their
// own; Table and Dispatcher hold the state that they use.
package forward
