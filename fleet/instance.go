package fleet

// InstanceState is the platform's view of an instance.
type InstanceState string

const (
	// InstanceLive means that the platform runs the instance.
	InstanceLive InstanceState = "live"
	// InstanceLeaving means that the instance will go away and must receive no
	// new work.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list: a machine that runs one
// backend server.
type Instance struct {
	ID string `json:"id"`
	// Address is the backend server's "IP:port".
	Address       string        `json:"address"`
	Pool          string        `json:"pool"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failureDomain"`
	FabricDomain  string        `json:"fabricDomain"`
	State         InstanceState `json:"state"`
	// Accelerators is the number of accelerators of the instance.
	Accelerators int `json:"accelerators,omitempty"`
}

// InstanceList is one version of the platform's instance list. It lags behind
// the truth.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Instance returns the entry with the given ID, or nil.
func (l *InstanceList) Instance(id string) *Instance {
	for i := range l.Instances {
		if l.Instances[i].ID == id {
			return &l.Instances[i]
		}
	}
	return nil
}
