package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/forward"
	"github.com/rattanlanding/rattanlanding/memory"
	"github.com/rattanlanding/rattanlanding/mesh"
	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/quarantine"
	"github.com/rattanlanding/rattanlanding/suspicion"
	"github.com/rattanlanding/rattanlanding/upstream"
)

// stateDump is the state of a process as served to operators for debugging.
type stateDump struct {
	Node          string                `json:"node"`
	Ready         bool                  `json:"ready"`
	Configuration uint64                `json:"configuration"`
	InFlight      int                   `json:"inFlight"`
	Waiting       map[string]int        `json:"waiting"`
	Targets       map[string]targetDump `json:"targets"`
	Peers         []*mesh.Node          `json:"peers"`
	// Quarantines are the requests and parts of prompts that are refused.
	Quarantines []quarantineDump `json:"quarantines"`
	// Evacuations maps evacuated failure domains to their states.
	Evacuations map[string]string `json:"evacuations,omitempty"`
	// SilentMs maps documents to the milliseconds since the store last responded.
	SilentMs map[string]int64 `json:"silentMs"`
}

// quarantineDump is a quarantine in a stateDump.
type quarantineDump struct {
	// Kind is "part" or "request".
	Kind string `json:"kind"`
	// Parts are the hashes of the parts; requests with all of them are refused.
	Parts       []quarantine.Part `json:"parts"`
	Crashes     uint16            `json:"crashes"`
	Prompts     uint16            `json:"prompts"`
	RemainingMs int64             `json:"remainingMs"`
}

// targetDump is the state of a target in a stateDump.
type targetDump struct {
	Group string `json:"group,omitempty"`
	Model string `json:"model,omitempty"`
	Slots int    `json:"slots"`
	// Own is the number of this node's requests in flight at the target.
	Own int `json:"own"`
	// Others is the number of requests of other nodes in flight at the target.
	Others  int    `json:"others"`
	Address string `json:"address"`
	// AcceptedPerSecond is the request rate that the target accepts from all nodes
	// together; absent without a limit.
	AcceptedPerSecond *float64 `json:"acceptedPerSecond,omitempty"`
	// Trust is the probability that the target answers the next request.
	Trust float64 `json:"trust"`
	// Held is true if the target gets no requests because it is silent or gone.
	Held bool `json:"held,omitempty"`
	// Failed and Answered are the requests of this node that the target failed and answered
	// lately.
	Failed   float64 `json:"failed,omitempty"`
	Answered float64 `json:"answered,omitempty"`
}

// inspector serves the metrics and the state of this process.
type inspector struct {
	status    *status
	handler   *forward.Handler
	followers followers
	pool      *upstream.Pool
	memory    *memory.Budget
	registry  metrics.Registry
}

// routes returns the HTTP handler of the metrics address.
func (i *inspector) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET("/metrics", func(c *gin.Context) {
		i.updateGauges()
		c.Data(http.StatusOK, "text/plain; version=0.0.4; charset=utf-8", operator.Exposition(i.registry))
	})
	router.GET("/state", func(c *gin.Context) { c.JSON(http.StatusOK, i.dump()) })
	return router
}

// updateGauges sets the gauges that are computed only when the metrics are requested.
func (i *inspector) updateGauges() {
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, i.registry).Update(value) }
	gauge("forward.in_flight", int64(i.handler.InFlight()))
	gauge("mesh.nodes", int64(i.status.mesh.Nodes()))
	gauge("upstream.dials", int64(i.pool.Dials()))
	gauge("follow.configuration.silent_ms", i.followers.configurations.TimeSinceContact().Milliseconds())
	gauge("follow.instances.silent_ms", i.followers.instances.TimeSinceContact().Milliseconds())
	waiting := 0
	for _, n := range i.status.dispatcher.Waiting() {
		waiting += n
	}
	gauge("forward.waiting", int64(waiting))
	gauge("quarantine.in_effect", int64(len(i.status.quarantine.Current())))
	targets, doubtful, held := 0, 0, 0
	i.status.tables.Load().Each(func(t *forward.Target) {
		targets++
		switch a := i.status.dispatcher.Assess(t); {
		case a.Held:
			held++
		case !suspicion.IsSound(a.Trust):
			doubtful++
		}
	})
	gauge("forward.targets", int64(targets))
	gauge("suspicion.doubtful", int64(doubtful))
	gauge("suspicion.held", int64(held))
	gauge("forward.evacuated_targets", int64(i.status.tables.Load().EvacuatedTargets()))
	if f := i.followers.evacuations; f != nil {
		gauge("follow.evacuations.silent_ms", f.TimeSinceContact().Milliseconds())
	}
	i.memory.UpdateGauges(i.registry)
}

func (i *inspector) dump() stateDump {
	d := stateDump{
		Node: i.status.settings.Node, Ready: i.status.Ready(), InFlight: i.handler.InFlight(),
		Waiting: map[string]int{}, Targets: map[string]targetDump{}, Peers: i.status.mesh.View().Live,
		SilentMs: map[string]int64{
			"configuration": i.followers.configurations.TimeSinceContact().Milliseconds(),
			"instances":     i.followers.instances.TimeSinceContact().Milliseconds(),
		},
	}
	if c := i.status.platformState.Configuration.Load(); c != nil {
		d.Configuration = c.Version
	}
	if f := i.followers.evacuations; f != nil {
		d.SilentMs["evacuations"] = f.TimeSinceContact().Milliseconds()
	}
	if r := i.status.platformState.Roster.Load(); r != nil && len(r.Evacuations) > 0 {
		d.Evacuations = map[string]string{}
		for domain, state := range r.Evacuations {
			d.Evacuations[domain] = state.String()
		}
	}
	for pool, n := range i.status.dispatcher.Waiting() {
		d.Waiting[pool.Service+"/"+pool.Model] = n
	}
	for _, q := range i.status.quarantine.Current() {
		d.Quarantines = append(d.Quarantines, quarantineDump{Kind: q.Kind.String(), Parts: q.Parts, Crashes: q.Crashes, Prompts: q.Prompts,
			RemainingMs: time.Until(q.Until).Milliseconds()})
	}
	i.status.tables.Load().Each(func(t *forward.Target) {
		target := targetDump{Group: t.Group.Name, Model: t.Pool.Model, Slots: t.Slots, Own: t.Load.Running(),
			Others: i.status.mesh.Running(t.Instance.ID), Address: t.Instance.Address}
		if rate, limited := i.status.dispatcher.AcceptedRate(t); limited {
			target.AcceptedPerSecond = &rate
		}
		a, seen := i.status.dispatcher.Assess(t), t.Load.Evidence(time.Now())
		target.Trust, target.Held, target.Failed, target.Answered = a.Trust, a.Held, seen.Failed, seen.Answered
		d.Targets[t.Instance.ID] = target
	})
	return d
}
