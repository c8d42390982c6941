package fleet

// InstanceState is the state of an instance according to the platform.
type InstanceState string

const (
	// InstanceLive means that the platform runs the instance.
	InstanceLive InstanceState = "live"
	// InstanceLeaving means that the instance is going to stop and must receive
	// no new work.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list: a machine that runs one
// backend server.
type Instance struct {
	ID string `json:"id"`
	// Address is the backend server's "IP:port".
	Address string `json:"address"`
	// Pool is the name of the pool to which the instance belongs.
	Pool          string `json:"pool"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// FabricDomain is the fabric domain of the instance. All members of a group
	// are in the same one.
	FabricDomain string        `json:"fabricDomain"`
	State        InstanceState `json:"state"`
	// Accelerators is the number of accelerators of the instance.
	Accelerators int `json:"accelerators,omitempty"`
}

// InstanceList is one version of the platform's instance list. It lags behind
// the actual state.
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
