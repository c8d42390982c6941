package fleet

import "fmt"

// Generation numbers the member lists of groups within one fabric domain. It is
// the fencing token of every command to an engine and never decreases.
type Generation uint64

// Phase is the state of a placed group.
type Phase string

const (
	// PhaseForming means that the members are being assigned their roles.
	PhaseForming Phase = "forming"
	// PhaseServing means that all members have reported that they are ready in
	// their roles.
	PhaseServing Phase = "serving"
	// PhaseWithdrawn means that the group gets no new work and its members are
	// released when it is drained.
	PhaseWithdrawn Phase = "withdrawn"
)

// Placement holds all placed groups of one fabric domain. It is stored as one
// object, so that one conditional update ensures that each instance is in at most
// one group.
type Placement struct {
	FabricDomain string `json:"fabricDomain"`
	// NextGeneration is greater than every generation ever used in the fabric
	// domain.
	NextGeneration Generation    `json:"nextGeneration"`
	Groups         []PlacedGroup `json:"groups"`
}

// PlacedGroup is a group with the instances chosen for it.
type PlacedGroup struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Version is the model version that the members run.
	Version    string     `json:"version"`
	Generation Generation `json:"generation"`
	Phase      Phase      `json:"phase"`
	// Members are in the order of their ranks; rank 0 receives the group's
	// requests.
	Members []GroupMember `json:"members"`
}

// GroupMember is one instance of a placed group. Its rank is its index in
// Members.
type GroupMember struct {
	Instance string `json:"instance"`
	// Address is the instance's "IP:port".
	Address string `json:"address"`
}

// Validate returns an error if an instance is in two groups, a group occurs
// twice, or a generation is not less than NextGeneration.
func (p *Placement) Validate() error {
	groups := make(map[string]bool, len(p.Groups))
	owner := make(map[string]string)
	for i := range p.Groups {
		g := &p.Groups[i]
		if groups[g.Name] {
			return fmt.Errorf("placement %s: group %s occurs twice", p.FabricDomain, g.Name)
		}
		groups[g.Name] = true
		if g.Generation >= p.NextGeneration {
			return fmt.Errorf("placement %s: group %s has generation %d, which is not below the next generation %d",
				p.FabricDomain, g.Name, g.Generation, p.NextGeneration)
		}
		for _, m := range g.Members {
			if other, taken := owner[m.Instance]; taken {
				return fmt.Errorf("placement %s: instance %s is in groups %s and %s",
					p.FabricDomain, m.Instance, other, g.Name)
			}
			owner[m.Instance] = g.Name
		}
	}
	return nil
}

// Group returns the placed group with the given name, or nil.
func (p *Placement) Group(name string) *PlacedGroup {
	for i := range p.Groups {
		if p.Groups[i].Name == name {
			return &p.Groups[i]
		}
	}
	return nil
}
