package suspicion

import "time"

// Kind is what a node has seen of a request that a server failed.
type Kind uint8

// Kinds of evidence.
const (
	// None says nothing about the server.
	None Kind = iota
	// Gone means that nobody serves the instance at its address: connections are refused or
	// not answered, or another instance answers.
	Gone
	// Silent means that the server took requests and sends nothing to anyone.
	Silent
	// Lost means that the connection of a response broke, or that no response came while the
	// server answered others.
	Lost
	// Spoiled means bytes that are no response to the request.
	Spoiled
	// Errored means a server error.
	Errored
	// Refused means that the server refused a request although it should have had a free slot.
	Refused
)

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

var kindNames = [...]string{"none", "gone", "silent", "lost", "spoiled", "errored", "refused"}

// holds reports whether the next request is nearly certain to fail too, so that the server
// gets none until it shows a sign of life, or the hold expires.
func (k Kind) holds() bool { return k == Gone || k == Silent }

// holdDuration is how long a server that is gone or silent gets no requests. The platform's
// instance list shows its state within three heartbeats.
const holdDuration = 3 * time.Second

// outage is the weight of a failure as evidence that the server has begun to fail every
// request. Errors and refusals are often due to the request or to the load, and a server that
// sends wrong bytes still runs.
func (k Kind) outage() float64 {
	if k == Lost {
		return 1
	}
	return 0.5
}
