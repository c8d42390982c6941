package measure

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
)

// Names and sizes of the design point, the deployment that the capacity figures are
// computed for.
const (
	capacityService = "care-llm"
	capacityVersion = "v12"
	groupSize       = 8 // instances of a group
	designNodes     = 380
	designGroups    = 75
	designDomains   = 5
)

// hexHash returns the SHA-256 hash of text in hexadecimal.
func hexHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// domainOf returns the fabric domain of group i.
func domainOf(i int) string { return fmt.Sprintf("fabric-%d", i%designDomains) }

// capacityConfiguration returns a configuration with entries of realistic size.
func capacityConfiguration(groups, organisations, services int) *fleet.Configuration {
	c := &fleet.Configuration{Revision: 1}
	for i := range services {
		s := fleet.Service{Name: fmt.Sprintf("service-%d", i), Kind: fleet.KindPlain, Pool: fmt.Sprintf("pool-%d", i),
			NonIdempotent: []string{"POST /deposits", "POST /orders"}, TimeoutMs: 10_000, Changed: 1}
		if i == 0 {
			s = fleet.Service{Name: capacityService, Kind: fleet.KindModel, Pool: "engines", Version: capacityVersion,
				TimeoutMs: 300_000, Priority: 10, Changed: 1}
		}
		c.Services = append(c.Services, s)
	}
	for i := range organisations {
		c.Organisations = append(c.Organisations, fleet.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), KeyHashes: []string{hexHash(fmt.Sprint("key", i))},
			Services: []string{capacityService}, TokensPerSecond: 50_000, Weight: 1, Priority: 5, Changed: 1,
		})
	}
	for i := range groups {
		c.Groups = append(c.Groups, fleet.Group{Name: fmt.Sprintf("care-llm-%d", i), Service: capacityService,
			Size: groupSize, FabricDomain: domainOf(i), Changed: 1})
	}
	return c
}

// instanceName returns the ID of a group's member.
func instanceName(group, rank int) string { return fmt.Sprintf("engine-%d", group*groupSize+rank) }

// placedGroup returns a serving group; address returns the address of an instance
// by its number.
func placedGroup(group, size int, address func(instance int) string) fleet.PlacedGroup {
	g := fleet.PlacedGroup{Name: fmt.Sprintf("care-llm-%d", group), Service: capacityService, Version: capacityVersion,
		Generation: fleet.Generation(group + 1), Phase: fleet.PhaseServing}
	for rank := range size {
		g.Members = append(g.Members, fleet.GroupMember{Instance: instanceName(group, rank), Address: address(group*groupSize + rank)})
	}
	return g
}

// capacityPlacements distributes the groups over the design point's fabric domains
// and returns the domains' placements.
func capacityPlacements(groups, size int, address func(instance int) string) []fleet.Placement {
	all := make([]fleet.Placement, designDomains)
	for i := range all {
		all[i] = fleet.Placement{FabricDomain: domainOf(i), NextGeneration: fleet.Generation(groups + 1)}
	}
	for i := range groups {
		p := &all[i%designDomains]
		p.Groups = append(p.Groups, placedGroup(i, size, address))
	}
	return all
}

// reportOf returns the status report of a member that is ready in its rank.
func reportOf(g *fleet.PlacedGroup, rank int) fleet.Report {
	return fleet.Report{
		Instance: g.Members[rank].Instance, Boot: "0f8a6c1e-6d0b-4a3e-9a53-1f6b7f1d2c11", Group: g.Name,
		Generation: g.Generation, Rank: rank, Size: len(g.Members), Service: g.Service, Version: g.Version,
		State: fleet.EngineReady, Running: 12, QueuedPromptTokens: 4096, FreeKVTokens: 250_000,
		LoadedVersions: []string{g.Service + "/" + g.Version},
	}
}

// capacityBoard returns a blackboard with the configuration, the placements of the
// groups, the instance list, and fresh evidence for every member.
func capacityBoard(groups int) *blackboard.Board {
	board := &blackboard.Board{}
	board.Configuration.Publish(capacityConfiguration(groups, 100, 20))
	evidence := &blackboard.Evidence{ByInstance: map[string]blackboard.Observation{}}
	placements := &blackboard.Placements{ByDomain: map[string]*blackboard.VersionedPlacement{}}
	list := &fleet.InstanceList{Version: 1}
	address := func(i int) string { return fmt.Sprintf("127.1.%d.%d:8000", i/250, i%250+1) }
	for _, p := range capacityPlacements(groups, groupSize, address) {
		placements.ByDomain[p.FabricDomain] = &blackboard.VersionedPlacement{Version: 1, Placement: p}
		for i := range p.Groups {
			for rank, m := range p.Groups[i].Members {
				list.Instances = append(list.Instances, capacityInstance(m, p.FabricDomain))
				evidence.ByInstance[m.Instance] = blackboard.Observation{
					Report: reportOf(&p.Groups[i], rank), ObservedAt: time.Now(), Observer: "node-1"}
			}
		}
	}
	board.Placements.Publish(placements)
	board.Instances.Publish(list)
	board.Evidence.Publish(evidence)
	return board
}

// capacityInstance returns the instance list entry of a group member.
func capacityInstance(m fleet.GroupMember, domain string) fleet.Instance {
	return fleet.Instance{ID: m.Instance, Address: m.Address, Pool: "engines", Region: "region-1",
		FailureDomain: "zone-" + domain, FabricDomain: domain, State: fleet.InstanceLive, Accelerators: 8}
}
