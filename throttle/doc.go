// Package throttle keeps what backend servers state about themselves in their responses, and
// divides the request rates that they accept between the nodes.
//
// A server in need accepts a limited number of requests per second from all nodes together.
// Each node that receives the statement tells the others (Notice). A node takes a share of
// the rate in proportion to the requests that arrive at it, as one permit for each request.
//
// The rate of a cold server is known beforehand, from the instance list and the
// configuration (Cold). Each node takes an equal part of it, since reports of arrivals would
// come after the first requests.
//
// A server may also state that it is leaving, which nodes tell each other, too, or ask the
// node that received the response to send nothing for some time.
package throttle
