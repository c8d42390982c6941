package prove

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// placementPrefix starts the keys of placement objects.
const placementPrefix = "placement/"

// groupID is one generation of a group. Generations are numbered within a
// fabric domain, and a group stays in its domain during a run.
type groupID struct {
	name       string
	generation fleet.Generation
}

// placementWrite is one effective write of a placement object.
type placementWrite struct {
	at        time.Time
	key       string
	placement fleet.Placement
}

// placementWrites returns the writes of placement objects in their order.
func placementWrites(h *History, r *Result) []placementWrite {
	var writes []placementWrite
	for i := range h.Events {
		write := h.Events[i].Write
		if write == nil || !strings.HasPrefix(write.Key, placementPrefix) {
			continue
		}
		w := placementWrite{at: h.Events[i].At, key: write.Key}
		if err := json.Unmarshal(write.Value, &w.placement); err != nil {
			r.Fail("version %d of %s is not readable: %v", write.Version, write.Key, err)
			continue
		}
		writes = append(writes, w)
	}
	return writes
}

// placedGroups returns the member list of every generation that was written. A
// generation with two member lists is a violation.
func placedGroups(writes []placementWrite, r *Result) map[groupID][]string {
	groups := map[groupID][]string{}
	for i := range writes {
		for _, g := range writes[i].placement.Groups {
			id := groupID{g.Name, g.Generation}
			members := make([]string, len(g.Members))
			for rank, m := range g.Members {
				members[rank] = m.Instance
			}
			if known, ok := groups[id]; ok && strings.Join(known, " ") != strings.Join(members, " ") {
				r.Fail("generation %d of group %s was written with members %v and %v", g.Generation, g.Name, known, members)
			}
			groups[id] = members
		}
	}
	return groups
}
