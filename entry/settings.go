package entry

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/quarantine"
)

// Settings are the settings of a node on the users' platform. Durations are
// texts such as "2.5s".
type Settings struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the "IP:port" on which the node serves callers.
	CallerAddress string `json:"callerAddress"`
	// DirectoryAddress is the "IP:port" on which callers request the caller addresses
	// of the nodes.
	DirectoryAddress string `json:"directoryAddress"`
	// ReadinessAddress is the "IP:port" that serves the platform's readiness checks.
	ReadinessAddress string `json:"readinessAddress"`
	// MetricsAddress is the "IP:port" that serves metrics and the state of the process;
	// empty for none.
	MetricsAddress string `json:"metricsAddress"`
	// PeerAddress is the "IP:port" for datagrams and document requests of other nodes.
	// Its port must be the same on all nodes.
	PeerAddress string `json:"peerAddress"`
	// Seeds are the addresses of the nodes to contact first. Their ports are ignored.
	Seeds []string `json:"seeds"`
	// PlatformAddress is the "IP:port" of the platform's store.
	PlatformAddress string `json:"platformAddress"`
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool `json:"firstStart"`
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `json:"memoryBytes"`
	// MaxDescriptors is the number of files and sockets that the process may open; 0 means
	// as many as the system allows.
	MaxDescriptors int `json:"maxDescriptors"`
	// BodyStallTime is how long the body of a request may take for its next 16 KiB.
	BodyStallTime time.Duration `json:"bodyStallTime"`
	// ProcessorShare is the number of processor cores that the process may use; it may
	// be a fraction.
	ProcessorShare float64 `json:"processorShare"`
	// StopTime is the time between the signal to stop and the forced end.
	StopTime time.Duration `json:"stopTime"`
	// AddressTTL is how long callers may keep addresses.
	AddressTTL time.Duration `json:"addressTtl"`
	// RetryRatio limits the retries of all nodes together, as a fraction of the
	// requests.
	RetryRatio float64 `json:"retryRatio"`
	// RetryAllowance is the number of retries that all nodes together may make beyond
	// RetryRatio.
	RetryAllowance float64 `json:"retryAllowance"`
	// QuarantineTime is how long prompts with a part that crashed engines are refused.
	QuarantineTime time.Duration `json:"quarantineTime"`
	// EvacuationTime is the time within which the request of an operator to evacuate a
	// failure domain must be in force; 0 if there are none.
	EvacuationTime time.Duration `json:"evacuationTime"`
	// ColdOverage and ColdAllowance limit the requests that a cold server may get in a
	// second: its rate times ColdOverage, and ColdAllowance. Without a ColdOverage cold
	// servers aren't limited.
	ColdOverage   float64 `json:"coldOverage"`
	ColdAllowance float64 `json:"coldAllowance"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
}

// Defaults of the settings.
const (
	defaultMemory     = 256 << 20
	defaultProcessor  = 1.0
	defaultStop       = 8 * time.Second
	defaultAddressTTL = 2 * time.Second
	defaultRetryRatio = 0.1
	defaultAllowance  = 10
)

// DefaultSettings returns the default settings, in which names and addresses are empty.
func DefaultSettings() Settings {
	return Settings{
		MemoryBytes: defaultMemory, ProcessorShare: defaultProcessor, StopTime: defaultStop,
		QuarantineTime: quarantine.DefaultDuration, BodyStallTime: memory.DefaultBodyStallTime,
		AddressTTL: defaultAddressTTL, RetryRatio: defaultRetryRatio, RetryAllowance: defaultAllowance,
		LogLevel: "info",
	}
}

// LoadSettings reads and checks a settings file. Errors name the invalid fields.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(data)
}

// ParseSettings parses and checks settings. Omitted fields have their defaults.
func ParseSettings(data []byte) (Settings, error) {
	s := DefaultSettings()
	var problems strictjson.Problems
	strictjson.Decode(data, &s, &problems)
	if problems.Empty() {
		s.check(&problems)
	}
	return s, problems.Err()
}

// check adds a problem for each invalid field.
func (s *Settings) check(p *strictjson.Problems) {
	p.CheckName("node", s.Node)
	p.CheckName("region", s.Region)
	p.CheckName("failureDomain", s.FailureDomain)
	listeners := map[string]string{}
	for _, a := range []struct{ field, address string }{
		{"callerAddress", s.CallerAddress}, {"directoryAddress", s.DirectoryAddress},
		{"readinessAddress", s.ReadinessAddress}, {"peerAddress", s.PeerAddress},
		{"platformAddress", s.PlatformAddress},
	} {
		p.CheckAddress(a.field, a.address)
		if other, taken := listeners[a.address]; taken && a.address != "" {
			p.Add(a.field, "must differ from %s", other)
		}
		listeners[a.address] = a.field
	}
	if s.MetricsAddress != "" {
		p.CheckAddress("metricsAddress", s.MetricsAddress)
	}
	for i, seed := range s.Seeds {
		p.CheckAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	p.CheckRange("memoryBytes", float64(s.MemoryBytes), 32<<20, 1<<40)
	p.CheckRange("maxDescriptors", float64(s.MaxDescriptors), 0, 1<<20)
	p.CheckRange("bodyStallTime", s.BodyStallTime.Seconds(), 0.1, 3600)
	p.CheckRange("processorShare", s.ProcessorShare, 0.01, 256)
	p.CheckRange("stopTime", s.StopTime.Seconds(), 1, 3600)
	p.CheckRange("addressTtl", s.AddressTTL.Seconds(), 0.1, 300)
	p.CheckRange("quarantineTime", s.QuarantineTime.Seconds(), 1, 86400)
	if s.EvacuationTime != 0 {
		p.CheckRange("evacuationTime", s.EvacuationTime.Seconds(), 1, 3600)
	}
	p.CheckRange("coldOverage", s.ColdOverage, 0, 100)
	p.CheckRange("coldAllowance", s.ColdAllowance, 0, 1e6)
	p.CheckRange("retryRatio", s.RetryRatio, 0, 10)
	p.CheckRange("retryAllowance", s.RetryAllowance, 0, 1e6)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.Add("logLevel", "must be debug, info, warn or error")
	}
}

// identity returns this node's entry in the mesh, without the fields that change at
// run time.
func (s *Settings) identity() mesh.Node {
	return mesh.Node{Name: s.Node, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		FailureDomain: s.FailureDomain, Capacity: uint16(100 * s.ProcessorShare)}
}

// seedAddresses returns the peer addresses of the seeds: their IP addresses with the
// port of PeerAddress.
func (s *Settings) seedAddresses() []string {
	peer := netip.MustParseAddrPort(s.PeerAddress)
	var addresses []string
	for _, seed := range s.Seeds {
		ip := netip.MustParseAddrPort(seed).Addr()
		addresses = append(addresses, netip.AddrPortFrom(ip, peer.Port()).String())
	}
	return addresses
}
