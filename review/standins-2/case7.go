package main

import (
	"context"
	"sync"
	"time"
)

// case7: an older entry of an engine that is written late replaces a newer one in the list, and the
// holder forms another group of members whose head is open.
//
// Two engines are added, load their weights and are to form a group. Meanwhile answers of the store
// are lost for 4.5 s: 35 in 100 of the writes, of engines and nodes, are done 1 to 6 s later.
func case7(l *lab) (bool, error) {
	const rounds = 4
	m := model{"rada7437b5", 2, 0.6, 12 * time.Second, 1100 * time.Millisecond}
	if err := l.startSystem([]model{m}, 6, 0, 3, 3, nil); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.streams(ctx, m.name, 200*time.Millisecond) })
	time.Sleep(time.Second)
	for round := range rounds {
		if err := l.waitFor(30*time.Second, "open groups", func() bool { return len(l.openHeads()) >= 3 }); err != nil {
			return l.violated() > 0, err
		}
		l.note("round %d: two engines are added", round)
		for range 2 {
			if _, err := l.newEngine("llm", "port-spain", "d1"); err != nil {
				return false, err
			}
		}
		time.Sleep(m.load - 3*time.Second)
		if l.trouble {
			l.note("answers of the store are lost")
			l.store.loseAnswers(0.35, 4500*time.Millisecond)
		}
		time.Sleep(11 * time.Second)
		l.say("round %d: %d open groups, TWO broken %d times so far", round, len(l.openHeads()), l.violated())
	}
	return l.violated() > 0, nil
}

// streams sends requests for streams, one each interval, until ctx is cancelled.
func (l *lab) streams(ctx context.Context, model string, interval time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			id := newID()
			l.note("client sends %s to %s", id, l.nodes[i%len(l.nodes)].name)
			a := send(l.nodes[i%len(l.nodes)].caller, "POST", "ficu95.example", "/care/2f", streamHeader(id, model, 1460, 170, 8000), []byte("Water the juniper?"), 9*time.Second)
			l.note("client got for %s: status %d whole %t events %d err %v", id, a.status, a.whole, len(eventsOf(a.body)), a.err)
		})
		time.Sleep(interval)
	}
}
