// Package memory accounts for what a node holds for others: bodies of requests, buffered
// responses, events, heads, requests in progress and connections. Memory is taken as it is
// filled, not as it is announced. When it runs short, what doesn't advance is given up first,
// then what an organisation or address holds beyond its share; the rest waits for a moment
// or is refused. What is small is never refused for what is large.
//
// The package only decides and counts. Its users read, write and close.
package memory
