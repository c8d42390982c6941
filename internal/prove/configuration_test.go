package prove

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

const (
	configurationRun = 60 * time.Second
	observeInterval  = 150 * time.Millisecond
	// stopTimeout exceeds the daemons' drain timeout.
	stopTimeout = 75 * time.Second
)

// proveConfiguration lets operators race with notes while nodes are killed,
// frozen and cut and the platform fails, and observes every node's revision.
func proveConfiguration(t *testing.T, p *proofRun) Result {
	c := p.start(t, clusterSpec{deployment: p.deployment(), nodes: 5, groups: 1, engines: 2, size: 2, servers: 1})
	ctx, cancel := context.WithTimeout(context.Background(), configurationRun)
	defer cancel()
	var group sync.WaitGroup
	for id := range 3 {
		group.Go(func() { operate(ctx, c, id, rand.New(rand.NewPCG(p.seed, uint64(id)+10))) })
	}
	for i := range c.spec.nodes {
		group.Go(func() { observe(ctx, c, i) })
	}
	load := workload{cluster: c, seed: p.seed, maxTokens: 30, pause: 50 * time.Millisecond}
	load.completions(ctx, 2)
	load.calls(ctx, 2, 1)
	faults := schedule{
		cluster: c, random: p.random, rest: [2]time.Duration{500 * time.Millisecond, 2 * time.Second},
		first: []faultKind{isolateNode, killAcceptor},
		kinds: []faultKind{
			killNode, freezeNode, cutNodeFromPlatform, isolateNode, cutOneWay, splitRegions,
			platformDown, platformHang, platformSlow, platformLosesAnswers,
		},
	}
	faults.run(ctx)
	group.Wait()
	load.wait()
	result := CheckConfiguration(c.history())
	if !c.node(0).terminate(stopTimeout) {
		result.Fail("node 0 did not stop gracefully after the run")
	}
	return result
}

// operate applies notes that change one of few organisations, so that operators
// collide often. A note whose outcome is unknown is sent again.
func operate(ctx context.Context, c *cluster, id int, random *rand.Rand) {
	base := firstRevision
	for n := 0; ctx.Err() == nil; n++ {
		node := random.IntN(c.spec.nodes)
		if status, err := c.status(node); err == nil {
			base = max(base, status.Revision)
		}
		organisation := c.firstNote().Added.Organisations[random.IntN(2)]
		organisation.TokensPerSecond = float64(1_000_000 + n*10 + id)
		note := release.Note{ID: fmt.Sprintf("operator-%d-%d", id, n), Base: base}
		note.Changed.Organisations = []fleet.Organisation{organisation}
		for range 3 {
			o := c.submit(id, node, note)
			if o.OK || o.Verdict == verdict.NotRun {
				break
			}
			node = random.IntN(c.spec.nodes)
		}
		pause(ctx, time.Duration(random.IntN(300))*time.Millisecond)
	}
}

// entryPattern finds the entries that a refusal names.
var entryPattern = regexp.MustCompile(`(services|organisations|groups)/[a-z0-9-]+`)

// submit sends a note to a node and records the outcome.
func (c *cluster) submit(id, node int, note release.Note) Operation {
	o := Operation{
		Kind: OpNote, Client: id, Node: c.operatorAddress(node), Note: note.ID, Base: note.Base, Start: time.Now(),
	}
	result, err := c.apply(node, note)
	o.End, o.OK, o.Revision = time.Now(), err == nil, result.Revision
	if err != nil {
		e := verdict.Of(err)
		o.Verdict, o.Reason, o.Error = e.Verdict, e.Reason, e.Error()
		o.Entries = entryPattern.FindAllString(e.Field+" "+e.Message, -1)
	}
	c.recorder.Operation(o)
	return o
}

// observe records one node's revision until ctx ends.
func observe(ctx context.Context, c *cluster, i int) {
	for ctx.Err() == nil {
		at := time.Now()
		if status, err := c.status(i); err == nil {
			c.recorder.Observe(Observation{
				At: at, Node: status.Node, Revision: status.Revision, Serving: status.Confirmation.Serving,
			})
		}
		pause(ctx, observeInterval)
	}
}

// killAcceptor leaves one daemon as the only one that reaches the platform,
// kills it as soon as a note took effect there, and so begins an outage of the
// platform for the others, who were not told that the note was accepted.
func killAcceptor(c *cluster, random *rand.Rand) fault {
	acceptor := random.IntN(c.spec.nodes)
	others := func(cut bool) {
		for j := range c.spec.nodes {
			if j != acceptor {
				c.cutPlatform(j, cut)
			}
		}
	}
	return fault{
		kind: "kill acceptor", target: fmt.Sprint(acceptor), hold: isolationHold,
		begin: func() {
			others(true)
			before := c.acceptedNotes()
			end := time.Now().Add(acceptorWait)
			for c.acceptedNotes() == before && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}
			c.node(acceptor).kill()
		},
		end: func() {
			others(false)
			c.startNode(acceptor)
		},
	}
}

// acceptorWait is the time in which an operator meets the acceptor.
const acceptorWait = 5 * time.Second

// acceptedNotes counts the writes of the configuration in the platform's record.
func (c *cluster) acceptedNotes() int {
	data, err := os.ReadFile(c.eventsFile("platform"))
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte(`"key":"config/current"`))
}
