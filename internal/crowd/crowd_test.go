package crowd

import "testing"

// These guard against clients that end a process or take it from the others: the sum of what
// they send, hold back or don't read had no bound.

func TestEntryHoldsWholeBodies(t *testing.T) { checkCrowd(t, startEntry, senders, sendWhole) }
func TestEntryHoldsPieces(t *testing.T)      { checkCrowd(t, startEntry, senders, sendPieces) }
func TestEntryHoldsLargeChunks(t *testing.T) { checkCrowd(t, startEntry, senders, sendChunks(256<<10)) }
func TestEntryHoldsSmallChunks(t *testing.T) { checkCrowd(t, startEntry, senders, sendChunks(1)) }
func TestEntryHoldsOversizedBodies(t *testing.T) {
	checkCrowd(t, startEntry, senders, mixed(sendOversized, sendOversizedChunks))
}
func TestEntryHoldsHeads(t *testing.T) { checkCrowd(t, startEntry, senders, trickleHead) }
func TestEntryHoldsConnections(t *testing.T) {
	checkCrowd(t, startEntry, holders, mixed(holdNew, holdKept))
}
func TestEntryHoldsUnreadResponses(t *testing.T) {
	checkCrowd(t, startEntry, listeners, mixed(pipeline, ignoreStream))
}

func TestRunHoldsWholeBodies(t *testing.T) { checkCrowd(t, startRun, senders, sendWhole) }
func TestRunHoldsPieces(t *testing.T)      { checkCrowd(t, startRun, senders, sendPieces) }
func TestRunHoldsLargeChunks(t *testing.T) { checkCrowd(t, startRun, senders, sendChunks(256<<10)) }
func TestRunHoldsSmallChunks(t *testing.T) { checkCrowd(t, startRun, senders, sendChunks(1)) }
func TestRunHoldsOversizedBodies(t *testing.T) {
	checkCrowd(t, startRun, senders, mixed(sendOversized, sendOversizedChunks))
}
func TestRunHoldsHeads(t *testing.T) { checkCrowd(t, startRun, senders, trickleHead) }
func TestRunHoldsConnections(t *testing.T) {
	checkCrowd(t, startRun, holders, mixed(holdNew, holdKept))
}
func TestRunHoldsUnreadResponses(t *testing.T) {
	checkCrowd(t, startRun, listeners, mixed(pipeline, ignoreStream))
}
