package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/catalog"
)

var _ = Describe("handlerMetrics", func() {
	It("counts outcomes of configured models only", func() {
		// Guards against a counter for each model name that callers invent.
		registry := metrics.NewRegistry()
		m := newHandlerMetrics(registry)
		service := &catalog.Service{Engine: &catalog.EngineProfile{Models: []catalog.Model{{Name: "m0"}}}}
		for _, model := range []string{"m0", "made-up", ""} {
			m.countOutcome(&call{service: service, Meta: Meta{Model: model}}, "late")
		}
		m.countOutcome(&call{service: &catalog.Service{}, Meta: Meta{Model: "m0"}}, "late")
		m.countOutcome(&call{Meta: Meta{Model: "m0"}}, "late")
		Expect(metrics.GetOrRegisterCounter("forward.late.m0", registry).Count()).To(BeEquivalentTo(1))
		Expect(registry.Get("forward.late.made-up")).To(BeNil())
	})
})
