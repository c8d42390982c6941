package main

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"
)

// case9: an entry of another writer under the name of an open group's head, with the field `group`
// missing, makes the holder form another group of its members.
//
// Three groups of two engines serve streams. Three times, another writer stores the present entry
// of a head once more, without its group. The engine writes its own again at its next heartbeat.
func case9(l *lab) (bool, error) {
	const rounds = 3
	m := model{"rada7437b5", 2, 0.6, 12 * time.Second, 1100 * time.Millisecond}
	if err := l.startSystem([]model{m}, 6, 0, 3, 3, nil); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.streams(ctx, m.name, 200*time.Millisecond) })
	for round := range rounds {
		time.Sleep(8 * time.Second)
		heads := l.openHeads()
		if len(heads) == 0 {
			continue
		}
		sort.Slice(heads, func(i, j int) bool { return heads[i].id < heads[j].id })
		if l.trouble {
			heads[0].writeWithoutGroup()
		}
		time.Sleep(2 * time.Second)
		l.say("round %d: %d open groups, TWO broken %d times so far", round, len(l.openHeads()), l.violated())
	}
	return l.violated() > 0, nil
}

// writeWithoutGroup stores the entry that the store holds of the engine once more, as another writer
// does, without the field `group`.
func (e *engine) writeWithoutGroup() {
	s := e.lab.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var spec map[string]json.RawMessage
	if err := json.Unmarshal(s.objects["servers"][e.id].Spec, &spec); err != nil {
		panic(err)
	}
	delete(spec, "group")
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	e.lab.note("another writer stores an entry under %s: %s", e.id, data)
	s.write("servers", e.id, data)
}
