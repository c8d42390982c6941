// Package suspicion estimates how likely a backend server is to fail the next request, from
// what it has failed and answered, at this node and at the others.
//
// A Record owns what this node has observed of one server. Nodes tell each other Reports:
// counts of what was seen, not a verdict. Assess and Share are the decisions, without a clock
// or a network. They answer load in which servers lose single responses and are sound
// otherwise, beside others that have crashed or fallen silent.
package suspicion
