package measure

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/rattanlanding/rattanlanding/route"
)

// TestFitLine guards against a wrong term in the least-squares fit, on which every
// computed figure of docs/CAPACITY.md is based.
func TestFitLine(t *testing.T) {
	g := NewWithT(t)
	slope, intercept := fitLine([]point{{1, 5}, {2, 7}, {4, 11}})
	g.Expect(slope).To(BeNumerically("~", 2, 1e-9))
	g.Expect(intercept).To(BeNumerically("~", 3, 1e-9))
}

// BenchmarkChoose measures the choice of a group by each policy, including the
// selection of targets with fresh evidence. Its names are made for benchstat.
func BenchmarkChoose(b *testing.B) {
	policies := []struct {
		name   string
		policy route.Policy
	}{{"affinity", &route.Affinity{}}, {"two-choices", route.TwoChoices{}}, {"least-load", route.LeastLoad{}}}
	for _, groups := range []int{designGroups, 10 * designGroups} {
		builder := route.NewBuilder(route.Config{Lifetime: time.Hour}, capacityBoard(groups), metrics.NewRegistry())
		builder.Build()
		service, now := builder.Table.Load().Service(capacityService), time.Now()
		for _, p := range policies {
			b.Run(fmt.Sprintf("policy=%s/groups=%d", p.name, groups), func(b *testing.B) {
				b.ReportAllocs()
				prefix := uint64(0)
				for b.Loop() {
					prefix++
					p.policy.Choose(service.Fresh(now, nil), route.Request{Prefix: prefix}, now)
				}
			})
		}
	}
}
