package mesh

import (
	"errors"
	"net/netip"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/internal/untrusted"
	"github.com/rattanlanding/rattanlanding/throttle"
)

// Notices exchanges what backend servers state about themselves. Implementations are safe
// for concurrent use and don't call the mesh.
type Notices interface {
	// Report returns the notices of this round.
	Report() []throttle.Notice
	// Absorb records the notices of another node.
	Absorb(notices []throttle.Notice)
}

// noticeHeader is the first byte of a datagram with notices. It begins no MessagePack value,
// so it distinguishes these datagrams from all others.
const noticeHeader = 0xc1

// errTooManyNotices means that a datagram contains more notices than a node sends.
var errTooManyNotices = errors.New("datagram contains too many notices")

// noticeMessages returns the message with this round's notices for the recipients of this
// node's state and, if it is an aggregator, of its summaries. Notices have a datagram of
// their own, and only if there are any.
func (m *Mesh) noticeMessages(messages []message) []message {
	if m.notices == nil {
		return nil
	}
	notices := m.notices.Report()
	if len(notices) == 0 {
		return nil
	}
	data, err := marshal(notices)
	if err != nil {
		_ = level.Error(m.logger).Log("msg", "notices not sent: encoding failed", "err", err)
		return nil
	}
	var recipients []netip.AddrPort
	for _, other := range messages {
		recipients = append(recipients, other.recipients...)
	}
	slices.SortFunc(recipients, netip.AddrPort.Compare)
	return []message{{append([]byte{noticeHeader}, data...), slices.Compact(recipients)}}
}

// decodeNotices decodes the notices after noticeHeader.
func decodeNotices(data []byte) ([]throttle.Notice, error) {
	var notices []throttle.Notice
	if err := untrusted.Unmarshal(data, &notices); err != nil {
		return nil, err
	}
	if len(notices) > throttle.MaxNotices {
		return nil, errTooManyNotices
	}
	return notices, nil
}
