// Package caller is a client library for callers of the system. It fetches entry addresses
// from any known node, caches them for their time to live, and retries a request through
// another address only if the verdict permits it.
package caller
