package settings

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Settings are the settings of one daemon.
type Settings struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress, OperatorAddress and PeerAddress are the listeners, each as
	// "IP:port". Callers and peers are given these addresses.
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	PeerAddress     string `json:"peerAddress"`
	// PeerAdvertiseAddress is the "IP:port" that peers are told to dial; it
	// defaults to PeerAddress. It differs where addresses are translated.
	PeerAdvertiseAddress string `json:"peerAdvertiseAddress"`
	// PlatformAddresses are the platform's endpoints, each as "IP:port".
	PlatformAddresses []string `json:"platformAddresses"`
	// Peers are the peer addresses of the seed members; this node may be one.
	Peers        []string      `json:"peers"`
	OperatorKeys []OperatorKey `json:"operatorKeys"`
	// PeerKey is the secret that members show each other.
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

// Log sets up logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Bounds are the times that the guarantees rest on; see the design page.
type Bounds struct {
	// EvidenceLifetime is how long a positive probe counts (D5).
	EvidenceLifetime time.Duration `json:"evidenceLifetime"`
	ProbeInterval    time.Duration `json:"probeInterval"`
	ProbeTimeout     time.Duration `json:"probeTimeout"`
	// LeaseDuration and LeaseRenewInterval are those of shard leases (D1).
	LeaseDuration      time.Duration `json:"leaseDuration"`
	LeaseRenewInterval time.Duration `json:"leaseRenewInterval"`
	// ConfirmationLifetime is how long a confirmed revision counts (D2).
	ConfirmationLifetime time.Duration `json:"confirmationLifetime"`
	// MajorityContact is how long a heard member counts for a majority (D2).
	MajorityContact   time.Duration `json:"majorityContact"`
	ConfigurationPoll time.Duration `json:"configurationPoll"`
	ExchangeInterval  time.Duration `json:"exchangeInterval"`
	// MemberDead is the silence after which a member is dead (D10).
	MemberDead   time.Duration `json:"memberDead"`
	AddressTTL   time.Duration `json:"addressTtl"`
	DrainTimeout time.Duration `json:"drainTimeout"`
	// RepairDelay is the time without evidence before a member is replaced.
	RepairDelay    time.Duration `json:"repairDelay"`
	ClaimRetention time.Duration `json:"claimRetention"`
}

// Limits bound what one node takes.
type Limits struct {
	MaxBodyBytes          int64 `json:"maxBodyBytes"`
	MaxConcurrentRequests int   `json:"maxConcurrentRequests"`
	// RetryBudgetRatio is the share of requests that may be retried (D13).
	RetryBudgetRatio float64 `json:"retryBudgetRatio"`
	MaxAttempts      int     `json:"maxAttempts"`
}

// Placement sets up the planner.
type Placement struct {
	// DowntimeWeight is the weight of group downtime against stranded
	// accelerators: 1 counts downtime only, 0 stranded accelerators only.
	DowntimeWeight float64 `json:"downtimeWeight"`
	// Policy names the repair policy.
	Policy string `json:"policy"`
}

// Default returns settings with every default; the addresses, names and keys
// are left empty.
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

// Parse reads and checks settings. Fields that are left out have their default.
// Errors are *verdict.Error values that name the field, such as
// "bounds.probeTimeout", and list every problem found.
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
