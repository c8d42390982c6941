package prove

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "seed of the schedule of operations and faults")
	pointFlag = flag.String("point", "", "point to prove; empty means all")
	// parallelFlag replaces go test's own flag -parallel, because ginkgo refuses it.
	parallelFlag = flag.Int("together", 2, "maximum number of concurrent runs")
)

// proofPoint is one guarantee and the run that checks it.
type proofPoint struct {
	name string
	// run runs a cluster under load and faults and checks the history.
	run func(t *testing.T, p *proofRun) Result
}

// points lists all guarantees, in the order of the design page's requirements.
var points = []proofPoint{
	{"whole-group", proveWholeGroup},
	{"one-group", proveOneGroup},
	{"leaving-server", proveLeaving},
	{"configuration", proveConfiguration},
	{"own-answer", proveOwnAnswer},
	{"not-run", proveNotRun},
	{"at-most-once", proveAtMostOnce},
	{"graceful", proveGraceful},
}

// proofRun is one run of a point. The seed and random determine its schedule of
// operations and faults.
type proofRun struct {
	seed    uint64
	random  *rand.Rand
	cluster *cluster
}

// start starts the run's cluster.
func (p *proofRun) start(t *testing.T, spec clusterSpec) *cluster {
	t.Helper()
	p.cluster = newCluster(t, spec)
	return p.cluster
}

// deployment returns one of the two users' deployments, depending on whether the
// seed is even.
func (p *proofRun) deployment() deployment {
	if p.seed%2 == 0 {
		return lencana
	}
	return maracas
}

// TestProve runs the points. A point with violations ("red") fails the test unless
// KNOWN-RED.txt lists it as "prove <point>".
func TestProve(t *testing.T) {
	known := knownRed(t)
	slots := make(chan struct{}, max(*parallelFlag, 1))
	for _, point := range points {
		if *pointFlag != "" && *pointFlag != point.name {
			continue
		}
		t.Run(point.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runPoint(t, point, known)
		})
	}
}

// runPoint runs one point and prints its PROOF line. If there are violations, it
// also prints them and saves the history.
func runPoint(t *testing.T, point proofPoint, known string) {
	p := &proofRun{seed: *seedFlag, random: rand.New(rand.NewPCG(*seedFlag, 0))}
	result := point.run(t, p)
	result.Point, result.Seed = point.name, p.seed
	fmt.Println(result.String())
	if result.OK() {
		return
	}
	for _, problem := range result.Violations {
		fmt.Printf("  %s: %s\n", point.name, problem)
	}
	fmt.Printf("  history: %s\n", keepHistory(t, p, point.name))
	fmt.Printf("  repeat: make prove SEED=%d POINT=%s\n", p.seed, point.name)
	if strings.Contains(known, "prove "+point.name+"\n") {
		fmt.Printf("  %s is listed in KNOWN-RED.txt\n", point.name)
		return
	}
	t.Errorf("point %s failed", point.name)
}

// keepHistory saves a run's history and logs in a directory under build/prove and
// returns its path.
func keepHistory(t *testing.T, p *proofRun, name string) string {
	dir := filepath.Join("..", "..", "build", "prove", fmt.Sprintf("%s-%d", name, p.seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Error(err)
		return ""
	}
	if p.cluster == nil {
		return dir
	}
	if err := p.cluster.history().Save(filepath.Join(dir, "history.jsonl")); err != nil {
		t.Error(err)
	}
	logs, _ := filepath.Glob(filepath.Join(p.cluster.dir, "*.log"))
	for _, file := range logs {
		data, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(file)), data, 0o644)
		}
		if err != nil {
			t.Error(err)
		}
	}
	return filepath.Join("build", "prove", filepath.Base(dir))
}

// knownRed returns the content of KNOWN-RED.txt followed by a newline, or only a
// newline if the file does not exist.
func knownRed(t *testing.T) string {
	data, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(data) + "\n"
}
