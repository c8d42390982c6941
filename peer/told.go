package peer

import (
	"encoding/binary"
	"errors"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlanding/rattanlanding/peer/peerpb"
)

// versionsHash identifies a list of document versions. It is never 0.
func versionsHash(versions []*peerpb.DocumentVersion) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range versions {
		_, _ = d.WriteString(v.GetName())
		_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, v.GetVersion()))
	}
	return max(d.Sum64(), 1)
}

// errUnknownVersions means that a response leaves out versions that are not held
// here.
var errUnknownVersions = errors.New("response leaves out unknown document versions")

// documentNotes is what is known about the documents of the process at an
// address.
type documentNotes struct {
	boot string
	// told is the hash of the versions in the newest request that it answered.
	told uint64
	// offered are the versions of its newest response that held all of them.
	offered     []*peerpb.DocumentVersion
	offeredHash uint64
}

// toldLog leaves out of messages the document versions that the other side knows.
type toldLog struct {
	mu        sync.Mutex
	byAddress map[string]documentNotes
}

// shorten leaves versions out of a request to an address and returns their hash.
func (l *toldLog) shorten(address string, request *peerpb.ExchangeRequest) (versions uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notes := l.byAddress[address]
	versions = versionsHash(request.GetDocuments())
	if notes.told == versions {
		request.Documents = nil
	}
	request.KnownDocuments = notes.offeredHash
	return versions
}

// complete puts versions that were left out back into the response to a request
// that shorten prepared. A process that started since is told everything again
// in the next request, because it may not have got what its predecessor knew.
func (l *toldLog) complete(address string, versions uint64, request *peerpb.ExchangeRequest, response *peerpb.ExchangeResponse) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	notes, boot := l.byAddress[address], response.GetResponder().GetBoot()
	if notes.boot != boot && len(request.GetDocuments()) == 0 {
		versions = 0
	}
	if hash := response.GetDocumentsHash(); hash != 0 && hash == request.GetKnownDocuments() {
		if hash != notes.offeredHash {
			return errUnknownVersions
		}
		response.Documents = notes.offered
	}
	if l.byAddress == nil {
		l.byAddress = map[string]documentNotes{}
	}
	l.byAddress[address] = documentNotes{
		boot: boot, told: versions, offered: response.GetDocuments(), offeredHash: response.GetDocumentsHash(),
	}
	return nil
}

// forget drops the notes on addresses that are not in use.
func (l *toldLog) forget(inUse map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byAddress, func(address string, _ documentNotes) bool { return !inUse[address] })
}
