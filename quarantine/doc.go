// Package quarantine finds what crashes engines, from what all nodes observe, and refuses
// requests with it until the quarantine expires: parts that prompts share, and whole
// requests, which callers send again. Nodes exchange Observations: engines that crashed
// under requests, what appeared in sound responses, and the quarantines. A Ledger holds
// what a node knows of one kind and a Guard those of all kinds; decideParts and
// decideRequests are the decisions, without a clock or a network. They answer load in
// which the requests with one part, or the repeats of one request, crash every engine that
// they reach, while other requests share the remaining parts of their prompts.
package quarantine
