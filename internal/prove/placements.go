package prove

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
)

// placementPrefix is the prefix of the keys of placement objects.
const placementPrefix = "placement/"

// groupID identifies one generation of a group. Generations are numbered within a
// fabric domain; the name alone is enough because a group stays in its domain
// during a run.
type groupID struct {
	name       string
	generation fleet.Generation
}

// placementWrite is one write of a placement object that the platform applied.
type placementWrite struct {
	at        time.Time
	key       string
	placement fleet.Placement
}

// placementWrites returns the writes of placement objects, oldest first.
func placementWrites(h *History, r *Result) []placementWrite {
	var writes []placementWrite
	for i := range h.Events {
		write := h.Events[i].Write
		if write == nil || !strings.HasPrefix(write.Key, placementPrefix) {
			continue
		}
		w := placementWrite{at: h.Events[i].At, key: write.Key}
		if err := json.Unmarshal(write.Value, &w.placement); err != nil {
			r.Fail("version %d of %s can't be decoded: %v", write.Version, write.Key, err)
			continue
		}
		writes = append(writes, w)
	}
	return writes
}

// membersByGroup returns the instance IDs of the members of every generation that
// was written, by rank. A generation with two different member lists is a
// violation.
func membersByGroup(writes []placementWrite, r *Result) map[groupID][]string {
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
