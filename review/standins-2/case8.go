package main

import (
	"sort"
	"sync"
	"time"
)

// case8: an answer without a length whose connection is reset looks complete if the reset arrives
// while another engine is asked to go on with the stream.
//
// Three groups of two engines get 36 streams of 50 events. One member of a group crashes. The head
// stands still; the system sends its streams to the other groups, and tells the head to close and
// to cut off its work, which resets the answers in progress. The other groups still read the
// prompts of the streams that were moved.
func case8(l *lab) (bool, error) {
	const (
		rounds = 4
		events = 50
		// streams is two thirds of the slots of three groups.
		streams = 36
		// promptTokens is the largest prompt of log-summary, and events its longest answer.
		promptTokens = 5880
	)
	m := model{"daka510000", 2, 1, 12 * time.Second, 1100 * time.Millisecond}
	if err := l.startSystem([]model{m}, 6, 0, 3, 3, nil); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	broken := false
	for round := range rounds {
		if err := l.waitFor(20*time.Second, "three open groups", func() bool { return len(l.openHeads()) >= 3 }); err != nil {
			return broken, err
		}
		time.Sleep(time.Second)
		heads := l.openHeads()
		sort.Slice(heads, func(i, j int) bool { return heads[i].id < heads[j].id })
		// One answer in twenty at two of the heads has no length, for 5.5 s.
		var lock sync.Mutex
		count := map[string]int{}
		unframedUntil := time.Now().Add(5500 * time.Millisecond)
		for _, h := range heads[:2] {
			h.mu.Lock()
			h.unframed = func(string) bool {
				lock.Lock()
				defer lock.Unlock()
				count[h.id]++
				return count[h.id]%20 == 5 && time.Now().Before(unframedUntil)
			}
			h.mu.Unlock()
		}
		type result struct {
			id string
			answer
		}
		results := make(chan result, 100)
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				id := newID()
				n := l.nodes[i%len(l.nodes)]
				l.note("client sends %s to %s", id, n.name)
				a := send(n.caller, "POST", "ficu95.example", "/care/2f", streamHeader(id, m.name, promptTokens, 5*events, 6000), []byte("Water the juniper?"), 9*time.Second)
				results <- result{id, a}
			})
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		if l.trouble {
			victim := heads[0]
			victim.mu.Lock()
			member := l.engine(victim.members[1])
			victim.mu.Unlock()
			l.note("engine %s crashes; it is a member of the group of %s", member.id, victim.id)
			member.crash()
		}
		wg.Wait()
		close(results)
		complete, incomplete, refused := 0, 0, 0
		for r := range results {
			got := eventsOf(r.body)
			l.note("client got for %s: status %d whole %t events %d err %v", r.id, r.status, r.whole, len(got), r.err)
			inOrder := true
			for i, n := range got {
				inOrder = inOrder && n == i+1
			}
			switch {
			case r.status == 200 && r.whole && (len(got) != events || !inOrder):
				broken = true
				l.say("round %d: MIXED, ORDER broken: %s ended as a complete answer with status 200 after %d of %d events, in order %t", round, r.id, len(got), events, inOrder)
			case r.status == 200 && r.whole:
				complete++
			case r.status == 200:
				incomplete++
			default:
				refused++
			}
		}
		l.say("round %d: %d answers complete, %d visibly broken off, %d refused or failed", round, complete, incomplete, refused)
		if l.trouble {
			if _, err := l.newEngine("llm", "port-spain", "d1"); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}
