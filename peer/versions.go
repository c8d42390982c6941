package peer

import (
	"encoding/binary"
	"errors"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// versionsHash returns a hash of a list of document versions. It is never 0, which
// stands for an unknown list in messages.
func versionsHash(versions []*peerpb.DocumentVersion) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range versions {
		_, _ = d.WriteString(v.GetName())
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, v.GetVersion()))
	}
	return max(d.Sum64(), 1)
}

// errUnknownVersions means that a response omits versions that this node has no copy
// of.
var errUnknownVersions = errors.New("response omits document versions that this node has no copy of")

// versionState is the state of the version lists exchanged with the process at one
// address.
type versionState struct {
	// boot is the boot id of the process.
	boot string
	// acknowledgedHash is the hash of this node's versions in the newest request that
	// the process answered, or 0 if they have to be sent again.
	acknowledgedHash uint64
	// received is the version list in the newest response.
	received []*peerpb.DocumentVersion
	// receivedHash is the documents_hash of the newest response. It is 0 if received
	// is incomplete.
	receivedHash uint64
}

// peerVersions keeps, per peer address, the version lists that were exchanged, so that
// unchanged lists can be omitted from messages.
type peerVersions struct {
	mu        sync.Mutex
	byAddress map[string]versionState
}

// omitAcknowledged removes the versions from a request if the peer at the address has
// received them, and returns their hash.
func (p *peerVersions) omitAcknowledged(address string, request *peerpb.ExchangeRequest) (hash uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.byAddress[address]
	hash = versionsHash(request.GetDocuments())
	if state.acknowledgedHash == hash {
		request.Documents = nil
	}
	request.KnownDocuments = state.receivedHash
	return hash
}

// restoreOmitted adds the versions that the peer omitted to its response to a request
// prepared by omitAcknowledged, and stores the state for the next request. If the peer
// has restarted, the next request carries all versions again, because the new process
// may not have received those sent to its predecessor.
func (p *peerVersions) restoreOmitted(address string, requestHash uint64, request *peerpb.ExchangeRequest, response *peerpb.ExchangeResponse) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, boot := p.byAddress[address], response.GetResponder().GetBoot()
	if state.boot != boot && len(request.GetDocuments()) == 0 {
		requestHash = 0
	}
	if hash := response.GetDocumentsHash(); hash != 0 && hash == request.GetKnownDocuments() {
		if hash != state.receivedHash {
			return errUnknownVersions
		}
		response.Documents = state.received
	}
	if p.byAddress == nil {
		p.byAddress = map[string]versionState{}
	}
	p.byAddress[address] = versionState{
		boot: boot, acknowledgedHash: requestHash, received: response.GetDocuments(), receivedHash: response.GetDocumentsHash(),
	}
	return nil
}

// prune drops the state of addresses that are not in use.
func (p *peerVersions) prune(inUse map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.byAddress, func(address string, _ versionState) bool { return !inUse[address] })
}
