// Package reach keeps what a node knows of its own links to backend servers, and decides by
// which path a request is sent: directly, or through another node (a detour).
//
// A server that doesn't answer a node has failed, or the link between them has. The two look
// alike to the node, but not to other nodes: if one of them reaches the server, the link has
// failed. A node that reaches few servers by itself, while others reach them, is stranded.
package reach
