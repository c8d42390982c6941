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
	// configurationRunDuration is the time for which a run applies load and faults.
	configurationRunDuration = 60 * time.Second
	// observeInterval is the pause between two status requests to one node.
	observeInterval = 150 * time.Millisecond
	// stopTimeout limits a graceful stop; it exceeds the daemons' drain timeout.
	stopTimeout = 75 * time.Second
)

// proveConfiguration applies release notes from concurrent operators while nodes are
// killed, suspended and isolated and the platform fails, and records every node's
// revision.
func proveConfiguration(t *testing.T, p *proofRun) Result {
	c := p.start(t, clusterSpec{deployment: p.deployment(), nodes: 5, groups: 1, engines: 2, groupSize: 2, servers: 1})
	ctx, cancel := context.WithTimeout(context.Background(), configurationRunDuration)
	defer cancel()
	var group sync.WaitGroup
	for id := range 3 {
		group.Go(func() { runOperator(ctx, c, id, rand.New(rand.NewPCG(p.seed, uint64(id)+10))) })
	}
	for i := range c.spec.nodes {
		group.Go(func() { observeNode(ctx, c, i) })
	}
	load := workload{cluster: c, seed: p.seed, maxTokens: 30, pause: 50 * time.Millisecond}
	load.completions(ctx, 2)
	load.calls(ctx, 2, 1)
	faults := schedule{
		cluster: c, random: p.random, gap: [2]time.Duration{500 * time.Millisecond, 2 * time.Second},
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

// runOperator applies release notes until ctx ends. Each note changes one of only
// two organisations, so that conflicts are frequent. A note whose outcome is unknown
// is sent again, at most twice.
func runOperator(ctx context.Context, c *cluster, id int, random *rand.Rand) {
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
			o := c.submitNote(id, node, note)
			if o.OK || o.Verdict == verdict.NotRun {
				break
			}
			node = random.IntN(c.spec.nodes)
		}
		pause(ctx, time.Duration(random.IntN(300))*time.Millisecond)
	}
}

// entryPattern matches the entries of the configuration that a refusal names.
var entryPattern = regexp.MustCompile(`(services|organisations|groups)/[a-z0-9-]+`)

// submitNote sends a release note to a node and records the outcome.
func (c *cluster) submitNote(id, node int, note release.Note) Operation {
	o := Operation{
		Kind: OpNote, Client: id, Node: c.operatorAddress(node), Note: note.ID, Base: note.Base, Start: time.Now(),
	}
	result, err := c.applyNote(node, note)
	o.End, o.OK, o.Revision = time.Now(), err == nil, result.Revision
	if err != nil {
		e := verdict.Of(err)
		o.Verdict, o.Reason, o.Error = e.Verdict, e.Reason, e.Error()
		o.Entries = entryPattern.FindAllString(e.Field+" "+e.Message, -1)
	}
	c.recorder.AddOperation(o)
	return o
}

// observeNode records one node's revision periodically until ctx ends.
func observeNode(ctx context.Context, c *cluster, i int) {
	for ctx.Err() == nil {
		at := time.Now()
		if status, err := c.status(i); err == nil {
			c.recorder.AddObservation(Observation{
				At: at, Node: status.Node, Revision: status.Revision, Serving: status.Confirmation.Serving,
			})
		}
		pause(ctx, observeInterval)
	}
}

// killAcceptor cuts all daemons except one from the platform and kills that one as
// soon as the platform has accepted a release note, or after acceptorTimeout if it
// accepts none. The others then have no access
// to the platform and have not received the new revision.
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
		kind: "kill acceptor", target: fmt.Sprint(acceptor), duration: isolationDuration,
		begin: func() {
			others(true)
			before := c.acceptedNotes()
			end := time.Now().Add(acceptorTimeout)
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

// acceptorTimeout limits killAcceptor's wait for an accepted release note.
const acceptorTimeout = 5 * time.Second

// acceptedNotes returns the number of writes of the configuration in the platform's
// event file.
func (c *cluster) acceptedNotes() int {
	data, err := os.ReadFile(c.eventsFile("platform"))
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte(`"key":"config/current"`))
}
