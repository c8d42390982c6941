package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/verdict"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

const (
	patient  = 20 * time.Second
	platform = "127.0.84.1:18401"
	server   = "127.0.84.9:18401"
	prompt   = "where is the lodge"
)

// engines are three that check fencing numbers and one that does not.
var engines = []string{"127.0.84.2:18401", "127.0.84.3:18401", "127.0.84.4:18401", "127.0.84.5:18401"}

func send(method, address, path string, body any, header ...string) (*http.Response, string) {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	// Without this net/http sends a request with an Idempotency-Key again when a
	// kept-alive connection breaks.
	request.GetBody = nil
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err.Error()
	}
	return response, string(text)
}

func get[T any](address, path string) (into T) {
	GinkgoHelper()
	_, text := send(http.MethodGet, address, path, nil)
	Expect(json.Unmarshal([]byte(text), &into)).To(Succeed())
	return into
}

func report(address string) fleet.Report { return get[fleet.Report](address, "/v1/status") }

func order(address string, o fleet.Order) int {
	GinkgoHelper()
	response, _ := send(http.MethodPut, address, "/v1/role", o)
	return response.StatusCode
}

// form gives the engines a role in a group and waits until all are ready.
func form(group string, generation fleet.Generation, members ...string) {
	GinkgoHelper()
	for rank, address := range members {
		Expect(order(address, fleet.Order{
			Group: group, Generation: generation, Rank: rank, Size: len(members),
			Service: "care-llm", Version: "v1", Members: members,
		})).To(Equal(http.StatusOK))
	}
	for _, address := range members {
		Eventually(report, patient).WithArguments(address).Should(And(
			HaveField("State", fleet.EngineReady), HaveField("Generation", generation)))
	}
}

func faults(address string, f any) {
	GinkgoHelper()
	response, _ := send(http.MethodPost, address, "/control/faults", f)
	Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}

// complete sends a completion to the first engine, as of group g, generation 5.
func complete(attempt string, r standin.CompletionRequest) (*http.Response, string) {
	GinkgoHelper()
	r.Prompt = prompt
	return send(http.MethodPost, engines[0], "/v1/completions", r, standin.HeaderAttempt, attempt,
		standin.HeaderGroup, "g", standin.HeaderGeneration, "5", standin.HeaderOrganisation, "org")
}

// tokens returns the first n output tokens of the prompt.
func tokens(n int) (list []string) {
	for i := range n {
		list = append(list, standin.Token("org", prompt, i))
	}
	return list
}

// text joins the output of a stream's events.
func text(stream string) (output string, ends int) {
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ends++
			continue
		}
		var chunk standin.CompletionChunk
		Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
		output += chunk.Choices[0].Text
	}
	return output, ends
}

var _ = Describe("Stand-ins", func() {
	BeforeEach(func() {
		pool := standin.Pool{
			Pool: "care", Count: 3, FirstAddress: engines[0], TokensPerSecond: 200, LoadMs: 20, MaxRunning: 1,
		}
		loose := standin.Pool{Pool: "loose", Count: 1, FirstAddress: engines[3], IgnoreFencing: true}
		set, err := standin.Start(context.Background(), standin.Config{
			Platform: &standin.PlatformConfig{Address: platform, LoadsPerSecond: 100},
			Engines:  []standin.Pool{pool, loose},
			Servers:  []standin.Pool{{Pool: "desk", Count: 1, FirstAddress: server}},
		}, log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			set.Close()
			http.DefaultClient.CloseIdleConnections()
		})
	})

	It("checks fencing numbers only where the pool says so", func() {
		// Guards against proofs of R2 that run against the wrong kind of engine.
		form("g", 5, engines[0])
		form("g", 5, engines[3])
		late := fleet.Order{Group: "old", Generation: 4, Size: 1, Service: "care-llm", Version: "v1"}
		Expect(order(engines[0], late)).To(Equal(http.StatusConflict))
		Expect(report(engines[0]).Group).To(Equal("g"))
		Expect(order(engines[3], late)).To(Equal(http.StatusOK))
		Expect(report(engines[3]).Group).To(Equal("old"))
	})

	It("streams, resumes and answers whole with the computed output", func() {
		// Guards against checkers that compare with a wrong expected answer.
		form("g", 5, engines[:3]...)
		response, stream := complete("a1", standin.CompletionRequest{MaxTokens: 8, Stream: true})
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("a1"))
		Expect(response.Header.Get(standin.HeaderGeneration)).To(Equal("5"))
		output, ends := text(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 0, 8)))
		Expect(ends).To(Equal(1))
		_, stream = complete("a2", standin.CompletionRequest{
			MaxTokens: 3, Stream: true, ResumeTokens: tokens(5),
		})
		output, _ = text(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 5, 8)))
		Expect(stream).To(ContainSubstring(`"attempt":"a2","position":5`))
		response, _ = complete("a4", standin.CompletionRequest{MaxTokens: 3, ResumeTokens: []string{" other"}})
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		_, whole := complete("a3", standin.CompletionRequest{MaxTokens: 8})
		var answer standin.CompletionChunk
		Expect(json.Unmarshal([]byte(whole), &answer)).To(Succeed())
		Expect(answer.Choices[0].Text).To(Equal(standin.Text("org", prompt, 0, 8)))
		for _, member := range engines[1:3] {
			Expect(get[standin.EngineRecord](member, "/record").Steps).To(HaveLen(3))
		}
		Eventually(get[standin.EngineRecord], patient).WithArguments(engines[0], "/record").Should(
			HaveField("Requests", HaveEach(HaveField("Complete", true))))
	})

	It("refuses without running what is not for its role, and what exceeds its room", func() {
		// Guards against a "not run" that was run.
		form("h", 5, engines[0])
		response, body := complete("a1", standin.CompletionRequest{MaxTokens: 1})
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
		Expect(response.Header.Get(verdict.Header)).To(Equal("not-run"))
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("a1"))
		Expect(body).To(ContainSubstring(`"reason":"wrong-group"`))
		Expect(get[standin.EngineRecord](engines[0], "/record").Requests).To(BeEmpty())

		form("g", 5, engines[0])
		done := make(chan struct{}, 2)
		for i := range 2 {
			go func() {
				complete(fmt.Sprint("long", i), standin.CompletionRequest{MaxTokens: 100_000, Stream: true})
				done <- struct{}{}
			}()
		}
		Eventually(report, patient).WithArguments(engines[0]).Should(HaveField("Running", 2))
		response, _ = complete("a2", standin.CompletionRequest{MaxTokens: 1})
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(verdict.Header)).To(Equal("not-run"))

		By("keeping the role of a released engine until its requests end")
		Expect(order(engines[0], fleet.Order{Generation: 5})).To(Equal(http.StatusOK))
		Expect(report(engines[0]).Group).To(Equal("g"))
		for i := range 2 {
			send(http.MethodDelete, engines[0], fmt.Sprint("/v1/attempts/long", i), nil)
			Eventually(done, patient).Should(Receive())
		}
		Eventually(func() bool { r := report(engines[0]); return r.Free() }, patient).Should(BeTrue())
	})

	DescribeTable("ends a request without its end marker when a member", func(fault func()) {
		// Guards against a group that seems whole without one of its members.
		form("g", 5, engines[:3]...)
		time.AfterFunc(100*time.Millisecond, fault)
		response, stream := complete("a1", standin.CompletionRequest{MaxTokens: 100_000, Stream: true})
		Expect(response).To(BeNil(), stream)
	},
		Entry("loses its role", func() { send(http.MethodPost, engines[2], "/control/restart", nil) }),
		Entry("fails a step", func() { faults(engines[2], standin.BackendFaults{FailSteps: true}) }),
		Entry("freezes", func() { faults(engines[2], standin.BackendFaults{FreezeMs: 5000}) }),
	)

	It("distorts answers on demand", func() {
		// Guards against proofs of R3 whose faults have no effect.
		form("g", 5, engines[0])
		ask := standin.CompletionRequest{MaxTokens: 4, Stream: true}
		expected := standin.Text("org", prompt, 0, 4)
		complete("first", ask)
		faults(engines[0], standin.BackendFaults{Cross: 1})
		response, _ := complete("a1", ask)
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("first"))
		faults(engines[0], standin.BackendFaults{Double: 1})
		_, stream := complete("a2", ask)
		output, ends := text(stream)
		Expect(output).To(Equal(expected + expected))
		Expect(ends).To(Equal(2))
		faults(engines[0], standin.BackendFaults{Truncate: 1})
		_, stream = complete("a3", ask)
		output, ends = text(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 0, 2)))
		Expect(ends).To(BeZero())
		ask.Stream = false
		for _, f := range []standin.BackendFaults{{Truncate: 1}, {Lose: 1}} {
			faults(engines[0], f)
			response, _ = complete("a4", ask)
			Expect(response).To(BeNil())
			Eventually(report, patient).WithArguments(engines[0]).Should(HaveField("Running", 0))
		}
		response, _ = complete("a5", ask)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("records each plain call, also one whose answer is lost", func() {
		// Guards against a proof of R5 that counts calls wrongly.
		faults(server, standin.BackendFaults{Lose: 1})
		for i := range 2 {
			response, _ := send(http.MethodPost, server, "/charge", "x", standin.HeaderKey, "k",
				standin.HeaderAttempt, fmt.Sprint(i))
			Expect(response == nil).To(Equal(i == 0))
		}
		Expect(get[standin.ServerRecord](server, "/record").Calls).To(HaveExactElements(
			And(HaveField("Key", "k"), HaveField("Attempt", "0"), HaveField("Body", `"x"`)),
			HaveField("Number", 2)))
		send(http.MethodPost, server, "/control/leave", nil)
		Expect(get[fleet.Report](server, "/health").State).To(Equal(fleet.EngineLeaving))
		list := get[fleet.InstanceList](platform, "/instances")
		Expect(list.Instance("desk-0").State).To(Equal(fleet.InstanceLeaving))
	})
})
