package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// Config describes the stand-ins of one process. Every section is optional.
type Config struct {
	Platform *PlatformConfig `json:"platform,omitempty"`
	// PlatformAddress is the "IP:port" of the platform from which engines load
	// weights and with which engines and servers register. It defaults to
	// Platform.Address.
	PlatformAddress string `json:"platformAddress,omitempty"`
	// EventsFile is the path of a file to which every event is appended as one line
	// of JSON; empty means none.
	EventsFile string `json:"eventsFile,omitempty"`
	Engines    []Pool `json:"engines,omitempty"`
	Servers    []Pool `json:"servers,omitempty"`
}

// PlatformConfig describes the platform.
type PlatformConfig struct {
	// Address is the "IP:port" to listen on.
	Address string `json:"address"`
	// ListLagMs is the time until a change of the instance list is visible.
	ListLagMs int64 `json:"listLagMs"`
	// LoadsPerSecond limits the rate of loads from the weight store; 0 means no
	// limit.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
}

// Pool describes a number of identical instances with consecutive IP addresses.
type Pool struct {
	Pool string `json:"pool"`
	// IDPrefix starts each instance's ID, which ends with its number from
	// FirstNumber; empty means "<pool>-".
	IDPrefix      string `json:"idPrefix,omitempty"`
	FirstNumber   int    `json:"firstNumber,omitempty"`
	Count         int    `json:"count"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	FabricDomain  string `json:"fabricDomain,omitempty"`
	// FirstAddress is the "IP:port" of the first instance. The others use the
	// following IP addresses with the same port.
	FirstAddress string `json:"firstAddress"`
	Accelerators int    `json:"accelerators,omitempty"`
	// IgnoreFencing makes engines accept commands with a generation lower than the
	// highest one they have seen.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
	// TokensPerSecond is the output speed of one request; 0 means 1000.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// LoadMs is the time to load weights that are not in memory, after the weight
	// store has admitted the load.
	LoadMs int64 `json:"loadMs,omitempty"`
	// StatusLagMs is the maximum age of the load figures in an engine's report.
	StatusLagMs int64 `json:"statusLagMs,omitempty"`
	// MaxRunning limits an engine's executing requests, and as many more may wait;
	// 0 means 32.
	MaxRunning int `json:"maxRunning,omitempty"`
}

// ReadConfig reads a Config from a JSON file. Unknown fields are errors.
func ReadConfig(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, err
	}
	var cfg Config
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	return cfg, nil
}

// instances returns the pool's entries in the instance list.
func (p *Pool) instances() ([]fleet.Instance, error) {
	address, err := netip.ParseAddrPort(p.FirstAddress)
	if err != nil {
		return nil, fmt.Errorf("pool %s: firstAddress: %w", p.Pool, err)
	}
	prefix := p.IDPrefix
	if prefix == "" {
		prefix = p.Pool + "-"
	}
	list := make([]fleet.Instance, 0, p.Count)
	for i := range p.Count {
		list = append(list, fleet.Instance{
			ID: fmt.Sprintf("%s%d", prefix, p.FirstNumber+i), Address: address.String(),
			Pool: p.Pool, Region: p.Region, FailureDomain: p.FailureDomain,
			FabricDomain: p.FabricDomain, State: fleet.InstanceLive, Accelerators: p.Accelerators,
		})
		address = netip.AddrPortFrom(address.Addr().Next(), address.Port())
	}
	return list, nil
}
