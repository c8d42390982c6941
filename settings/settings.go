package settings

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Settings are the settings of one daemon.
type Settings struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the "IP:port" on which the node serves callers, as handed out to
	// them.
	CallerAddress string `json:"callerAddress"`
	// OperatorAddress is the "IP:port" on which the node serves operators.
	OperatorAddress string `json:"operatorAddress"`
	// PeerAddress is the "IP:port" on which the node serves other nodes.
	PeerAddress string `json:"peerAddress"`
	// PeerAdvertiseAddress is the "IP:port" that is sent to peers for their connections
	// to this node. The default is PeerAddress; it differs behind network address
	// translation.
	PeerAdvertiseAddress string `json:"peerAdvertiseAddress"`
	// PlatformAddresses are the platform's endpoints, each as "IP:port".
	PlatformAddresses []string `json:"platformAddresses"`
	// Peers are the peer addresses of the seed members, which may include this node.
	Peers        []string      `json:"peers"`
	OperatorKeys []OperatorKey `json:"operatorKeys"`
	// PeerKey is the shared secret with which members authenticate to each other.
	PeerKey   string    `json:"peerKey"`
	Log       Log       `json:"log"`
	Bounds    Bounds    `json:"bounds"`
	Limits    Limits    `json:"limits"`
	Placement Placement `json:"placement"`
}

// OperatorKey is the key of one operator.
type OperatorKey struct {
	Name string `json:"name"`
	// KeySHA256 is the hex SHA-256 of the key.
	KeySHA256 string `json:"keySha256"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Bounds are the times on which the guarantees depend; see the design document.
type Bounds struct {
	// EvidenceLifetime is how long a positive probe is valid (D5).
	EvidenceLifetime time.Duration `json:"evidenceLifetime"`
	// ProbeInterval is the time between two probes of an instance.
	ProbeInterval time.Duration `json:"probeInterval"`
	// ProbeTimeout limits one probe.
	ProbeTimeout time.Duration `json:"probeTimeout"`
	// LeaseDuration is the duration of shard leases (D1).
	LeaseDuration time.Duration `json:"leaseDuration"`
	// LeaseRenewInterval is the interval at which shard leases are renewed (D1).
	LeaseRenewInterval time.Duration `json:"leaseRenewInterval"`
	// ConfirmationLifetime is how long a confirmed revision is valid (D2).
	ConfirmationLifetime time.Duration `json:"confirmationLifetime"`
	// MajorityContact is how long a member counts towards a majority after it was last
	// in contact (D2).
	MajorityContact time.Duration `json:"majorityContact"`
	// ConfigurationPoll is the interval at which the platform is polled for a new
	// configuration.
	ConfigurationPoll time.Duration `json:"configurationPoll"`
	// ExchangeInterval is the time between two exchanges with other members.
	ExchangeInterval time.Duration `json:"exchangeInterval"`
	// MemberDead is the time without contact after which a member is considered dead
	// (D10).
	MemberDead time.Duration `json:"memberDead"`
	// AddressTTL is how long callers may keep addresses.
	AddressTTL time.Duration `json:"addressTtl"`
	// DrainTimeout limits a graceful shutdown.
	DrainTimeout time.Duration `json:"drainTimeout"`
	// RepairDelay is the time without evidence before a member of a group is replaced.
	RepairDelay time.Duration `json:"repairDelay"`
	// ClaimRetention is how long claims of idempotency keys are kept.
	ClaimRetention time.Duration `json:"claimRetention"`
}

// Limits limit the requests that one node accepts.
type Limits struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64 `json:"memoryBytes"`
	// MaxDescriptors is the number of files and sockets that the process may open; 0 means
	// as many as the system allows.
	MaxDescriptors int `json:"maxDescriptors"`
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxConcurrentRequests limits the requests in flight.
	MaxConcurrentRequests int `json:"maxConcurrentRequests"`
	// RetryBudgetRatio is the fraction of requests that may be retried (D13).
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
	// MaxAttempts limits the attempts for one request.
	MaxAttempts int `json:"maxAttempts"`
}

// Placement configures the planner.
type Placement struct {
	// DowntimeWeight is the weight of group downtime against stranded
	// accelerators: 1 counts downtime only, 0 stranded accelerators only.
	DowntimeWeight float64 `json:"downtimeWeight"`
	// Policy names the repair policy.
	Policy string `json:"policy"`
}

// Default returns the default settings. Addresses, names and keys are empty.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Bounds: Bounds{
			EvidenceLifetime:     2500 * time.Millisecond,
			ProbeInterval:        time.Second,
			ProbeTimeout:         600 * time.Millisecond,
			LeaseDuration:        4 * time.Second,
			LeaseRenewInterval:   1300 * time.Millisecond,
			ConfirmationLifetime: 9 * time.Second,
			MajorityContact:      5 * time.Second,
			ConfigurationPoll:    4 * time.Second,
			ExchangeInterval:     time.Second,
			MemberDead:           10 * time.Second,
			AddressTTL:           5 * time.Second,
			DrainTimeout:         60 * time.Second,
			RepairDelay:          10 * time.Second,
			ClaimRetention:       time.Hour,
		},
		Limits: Limits{
			MemoryBytes:           256 << 20,
			MaxBodyBytes:          1 << 20,
			MaxConcurrentRequests: 512,
			RetryBudgetRatio:      0.1,
			MaxAttempts:           3,
		},
		Placement: Placement{DowntimeWeight: 0.5, Policy: "balanced"},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("open settings: %w", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse parses and checks settings. Omitted fields have their defaults. Errors are
// *verdict.Error values that name the field, such as "bounds.probeTimeout", and list
// all problems.
func Parse(data []byte) (Settings, error) {
	if len(data) > maxFileBytes {
		return Settings{}, verdict.New(verdict.NotRun, verdict.ReasonTooLarge,
			"settings have more than %d bytes", maxFileBytes)
	}
	s := Default()
	var problems strictjson.Problems
	strictjson.Decode(data, &s, &problems)
	if s.PeerAdvertiseAddress == "" {
		s.PeerAdvertiseAddress = s.PeerAddress
	}
	if problems.Empty() {
		s.check(&problems)
	}
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
