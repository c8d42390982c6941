package embedding_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/claim"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/health"
	"github.com/rattanlanding/rattanlanding/lease"
	"github.com/rattanlanding/rattanlanding/limit"
	"github.com/rattanlanding/rattanlanding/object"
	"github.com/rattanlanding/rattanlanding/peer"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// member returns a serving member whose latest heartbeat was received just now.
func member(node, failureDomain string) fleet.MemberView {
	return fleet.MemberView{
		Member:      fleet.Member{Node: node, FailureDomain: failureDomain, State: fleet.NodeServing},
		HeartbeatAt: time.Now(),
	}
}

// board returns the blackboard of process self, with the given members.
func board(self string, members ...fleet.MemberView) *blackboard.Board {
	b := &blackboard.Board{}
	b.Members.Publish(&blackboard.Members{Self: self, All: members})
	return b
}

// waitFor waits until a section of a blackboard satisfies a condition, and returns its
// value.
func waitFor[T any](section *blackboard.Section[T], condition func(*T) bool) *T {
	for {
		changed := section.Changed()
		if value := section.Load(); value != nil && condition(value) {
			return value
		}
		<-changed
	}
}

// A lease selects the worker that does a job. A former holder may still be running, so
// each write is conditional on the version that was read: the former holder's late write
// then fails instead of overwriting that of the new holder.
func Example_lease() {
	store := object.NewMemory()
	start := func(node string) (*blackboard.Board, context.CancelFunc) {
		b := board(node, member(node, "a"))
		manager := lease.New(lease.Config{Node: node, Boot: peer.NewBoot(time.Now()), RenewInterval: 50 * time.Millisecond},
			store, b, func() []string { return []string{"invoices"} }, log.NewNopLogger(), metrics.NewRegistry())
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = manager.Run(ctx) }()
		return b, func() { stop(); <-done }
	}
	holds := func(s *blackboard.Shards) bool { _, held := s.Held["invoices"]; return held }

	first, stopFirst := start("worker-1")
	fmt.Println("worker-1 holds epoch", waitFor(&first.Shards, holds).Held["invoices"].Epoch)
	ctx, key := context.Background(), object.Key{Kind: "invoices", Name: "march"}
	read, _ := store.Update(ctx, key, 0, []byte("worker-1 begins"))

	stopFirst() // Releases the lease.
	second, stopSecond := start("worker-2")
	defer stopSecond()
	fmt.Println("worker-2 holds epoch", waitFor(&second.Shards, holds).Held["invoices"].Epoch)
	_, err := store.Update(ctx, key, read, []byte("worker-2 goes on"))
	fmt.Println("worker-2 writes:", err)
	_, err = store.Update(ctx, key, read, []byte("worker-1 acts late"))
	fmt.Println("worker-1 is refused:", errors.Is(err, object.ErrConflict))
	// Output:
	// worker-1 holds epoch 1
	// worker-2 holds epoch 2
	// worker-2 writes: <nil>
	// worker-1 is refused: true
}

// Every process computes the same observers of an instance from the same members. The
// observers are in different failure domains.
func Example_observers() {
	members := []fleet.MemberView{
		member("n1", "a"), member("n2", "a"), member("n3", "b"), member("n4", "b"), member("n5", "c"),
	}
	before := health.Observers("printer-7", members, 2)
	fmt.Println(len(before), "observers")
	// The observers don't change when a member that is not one of them leaves.
	others := slices.DeleteFunc(slices.Clone(members), func(m fleet.MemberView) bool {
		return slices.Contains(before, m.Node)
	})
	without := slices.DeleteFunc(members, func(m fleet.MemberView) bool { return m.Node == others[0].Node })
	fmt.Println("unchanged:", slices.Equal(before, health.Observers("printer-7", without, 2)))
	// Output:
	// 2 observers
	// unchanged: true
}

// printers is a health.StatusSource for a protocol of its own.
type printers struct{}

// Status implements health.StatusSource.
func (printers) Status(_ context.Context, address string) (fleet.Report, error) {
	if address != "192.0.2.7:9100" {
		return fleet.Report{}, errors.New("no paper")
	}
	return fleet.Report{Instance: "printer-7", State: fleet.EngineReady}, nil
}

// AnnounceLosses implements health.LossAnnouncer.
func (printers) AnnounceLosses(losses []blackboard.Loss) {
	for _, loss := range losses {
		fmt.Println("lost", loss.Instance)
	}
}

// A prober runs health checks of the instances of the configured pools and records which
// instances responded, and with which status.
func Example_prober() {
	b := board("n1", member("n1", "a"))
	b.Configuration.Publish(&fleet.Configuration{Services: []fleet.Service{{Name: "print", Kind: fleet.KindPlain, Pool: "printers"}}})
	b.Instances.Publish(&fleet.InstanceList{Instances: []fleet.Instance{
		{ID: "printer-7", Address: "192.0.2.7:9100", Pool: "printers"},
	}})
	table := health.NewTable(health.TableConfig{}, &b.Evidence)
	prober := health.NewProber(health.Config{Node: "n1"}, b, table, printers{}, printers{}, log.NewNopLogger(), metrics.NewRegistry())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = table.Run(ctx) }()
	go func() { _ = prober.Run(ctx) }()
	evidence := waitFor(&b.Evidence, func(e *blackboard.Evidence) bool { return len(e.ByInstance) > 0 })
	fmt.Println("printer-7 is", evidence.ByInstance["printer-7"].Report.State, "says", evidence.ByInstance["printer-7"].Observer)
	// Output:
	// printer-7 is ready says n1
}

// A claim ensures that a call with an idempotency key runs at most once, even if it is
// repeated at another process.
func Example_claim() {
	ctx, store := context.Background(), object.NewMemory()
	newRegistry := func() *claim.Registry {
		return claim.NewRegistry(store, claim.Config{}, log.NewNopLogger(), metrics.NewRegistry())
	}
	processA, processB := newRegistry(), newRegistry()
	defer processA.Close()
	defer processB.Close()
	key := claim.Key{Organisation: "lodge", Service: "deposits", Key: "deposit-0001"}

	held, _, err := processA.Begin(ctx, key, "hash of the call")
	fmt.Println("may send:", held != nil, err)
	fmt.Println("stored:", held.Complete(ctx, claim.Response{Status: http.StatusOK, Body: []byte("charged")}))

	held, first, _ := processB.Begin(ctx, key, "hash of the call")
	fmt.Printf("repeat: may send %t, first answer %d %s\n", held != nil, first.Status, first.Body)
	_, _, err = processB.Begin(ctx, key, "hash of another call")
	fmt.Println("other call:", verdict.Of(err).Verdict, verdict.Of(err).Reason)
	// Output:
	// may send: true <nil>
	// stored: <nil>
	// repeat: may send false, first answer 200 charged
	// other call: not-run idempotency-key-reused
}

// A limiter enforces this process's share of an organisation's rate limit.
func Example_limit() {
	b := board("n1", member("n1", "a"), member("n2", "b"))
	b.Configuration.Publish(&fleet.Configuration{
		Organisations: []fleet.Organisation{{Name: "lodge", TokensPerSecond: 1000}},
	})
	now := time.Unix(0, 0)
	limiter := limit.NewLimiter(b, limit.Config{Now: func() time.Time { return now }}, metrics.NewRegistry())
	limiter.Update() // Run does this every half second.

	// n1's share is half of 1000 tokens/s, and its token bucket holds two seconds of
	// that. A request is admitted while any token is left, so the next request has to
	// wait for a single token: 2 ms.
	_, err := limiter.Admit(context.Background(), "lodge", "jobs", 1000, 0)
	fmt.Println("first:", err)
	_, err = limiter.Admit(context.Background(), "lodge", "jobs", 500, 0)
	refused := verdict.Of(err)
	fmt.Println("second:", refused.Verdict, refused.Reason, refused.RetryAfter)
	// Output:
	// first: <nil>
	// second: not-run limit-exceeded 2ms
}

// Two processes discover each other through one seed and offer their documents to each
// other. peer.Fake implements the peer's dependencies in memory; a program implements
// those that it needs itself.
func Example_peers() {
	start := func(node string, ports *peer.Fake, seeds ...string) (*blackboard.Board, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		b := &blackboard.Board{}
		n, err := peer.New(peer.Config{
			Self: fleet.Member{Node: node, Boot: peer.NewBoot(time.Now()), PeerAddress: listener.Addr().String(),
				State: fleet.NodeServing},
			Listener: listener, Seeds: seeds, Key: "a shared secret", ExchangeInterval: 50 * time.Millisecond,
		}, ports.Dependencies(), b, log.NewNopLogger(), metrics.NewRegistry())
		if err != nil {
			panic(err)
		}
		go func() { _ = n.Run(context.Background()) }()
		return b, listener.Addr().String()
	}
	ports := &peer.Fake{}
	ports.SetDocument(peer.Document{DocumentVersion: peer.DocumentVersion{Name: "prices", Version: 3}, Body: []byte("{}")})
	_, seed := start("n1", ports)
	other := &peer.Fake{}
	b, _ := start("n2", other, seed)

	waitFor(&b.Members, func(m *blackboard.Members) bool { return len(m.Serving()) == 2 })
	for len(other.Offers()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	offer := other.Offers()[0]
	document, err := offer.Fetch(context.Background())
	fmt.Println(offer.Peer, "offers", offer.Name, offer.Version)
	fmt.Printf("%s %v\n", document.Body, err)
	// Output:
	// n1 offers prices 3
	// {} <nil>
}
