// Package quarantine finds the parts of prompts that crash engines, from what all nodes
// observe, and refuses requests that contain them until the quarantine expires. Nodes
// exchange Observations: engines that crashed before a response began, parts that appeared in
// sound responses, and the parts in quarantine. A Ledger holds what a node knows; decide
// is the decision, without a clock or a network. It answers load in which the requests
// with one part crash every engine that they reach, while other requests share the
// remaining parts of their prompts.
package quarantine
