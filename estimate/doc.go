// Package estimate predicts when a model engine sends the first event of a response, and
// how many requests the engines of a pool can answer on time.
//
// It holds no state of requests and reads no clock of its own, so that its decisions can be
// played without a network.
package estimate
