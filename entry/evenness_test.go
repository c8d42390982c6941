package entry

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/catalog"
	"github.com/rattanlanding/rattanlanding/engine"
	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/mesh"
)

// Guards against groups that are overrun while others idle without a line or a metric that
// shows it.
func TestReportsTheEvennessOfEachModelWithRequests(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	logger, registry := log.NewLogfmtLogger(&lines), metrics.NewRegistry()
	models := []catalog.Model{{Name: "m", Size: 1, TimeFactor: 1}, {Name: "idle", Size: 1, TimeFactor: 1}}
	configuration := (&catalog.Configuration{Services: []catalog.Service{{Name: "llm", Engine: &catalog.EngineProfile{Slots: 10, Models: models}}}}).Index()
	var instances []*engine.Instance
	for i, model := range []string{"m", "m", "idle"} {
		instances = append(instances, &engine.Instance{ID: fmt.Sprint("i-", i), Service: "llm", Slots: 10, FabricDomain: "f", Model: model,
			Membership: engine.Membership{Group: fmt.Sprint("g", i), Epoch: 1, Phase: engine.Open}})
	}
	tables := forward.NewTables()
	tables.Build(configuration, engine.NewRoster(instances))
	peers := mesh.New(mesh.Config{Node: "n"}, nil, nil, logger, registry)
	dispatcher := forward.NewDispatcher(tables, peers, "z", newThrottle(Settings{}, logger, registry))
	// Of four requests, three are at one group.
	for _, avoid := range []string{"i-1", "i-1", "i-1", "i-0"} {
		_, err := dispatcher.Acquire(context.Background(), forward.SlotRequest{Pool: forward.Pool{Service: "llm", Model: "m"}, Avoid: map[string]bool{avoid: true}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	(&evennessReporter{dispatcher: dispatcher, logger: logger, registry: registry}).report()
	g.Expect(lines.String()).To(Equal("level=info msg=evenness service=llm model=m groups=2 fill=0.2 highest_fill=0.3 busiest_to_mean=1.5 spread=0.5\n"))
	g.Expect(registry.Get("forward.evenness.busiest_to_mean").(metrics.GaugeFloat64).Value()).To(BeNumerically("~", 1.5, 1e-9))
	g.Expect(registry.Get("forward.evenness.spread").(metrics.GaugeFloat64).Value()).To(BeNumerically("~", 0.5, 1e-9))
}
