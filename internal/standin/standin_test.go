package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	eventuallyTimeout = 20 * time.Second
	platformAddress   = "127.0.84.1:18401"
	serverAddress     = "127.0.84.9:18401"
	prompt            = "where is the lodge"
)

// engineAddresses are those of three engines that refuse commands with an old
// generation and of one that accepts them.
var engineAddresses = []string{"127.0.84.2:18401", "127.0.84.3:18401", "127.0.84.4:18401", "127.0.84.5:18401"}

func send(method, address, path string, body any, header ...string) (*http.Response, string) {
	GinkgoHelper()
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody net/http can't retry a request. Otherwise it would send one
	// with an Idempotency-Key again when a kept-alive connection breaks.
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

// begin opens a connection and sends the head of a request to group g and generation 5.
func begin(address, path, attempt string, length int) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n%s: %s\r\n%s: g\r\n%s: 5\r\nContent-Length: %d\r\n\r\n",
		path, standin.HeaderAttempt, attempt, standin.HeaderGroup, standin.HeaderGeneration, length)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// exchange sends a request and returns all bytes that come until the connection ends.
func exchange(address, path, body, attempt string) string {
	GinkgoHelper()
	conn := begin(address, path, attempt, len(body))
	defer conn.Close()
	_, err := io.WriteString(conn, body)
	Expect(err).NotTo(HaveOccurred())
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func report(address string) fleet.Report { return get[fleet.Report](address, "/v1/status") }

func sendCommand(address string, c fleet.Command) int {
	GinkgoHelper()
	response, _ := send(http.MethodPut, address, "/v1/role", c)
	return response.StatusCode
}

// formGroup commands the engines to form a group and waits until all are ready.
func formGroup(group string, generation fleet.Generation, members ...string) {
	GinkgoHelper()
	for rank, address := range members {
		Expect(sendCommand(address, fleet.Command{
			Group: group, Generation: generation, Rank: rank, Size: len(members),
			Service: "care-llm", Version: "v1", Members: members,
		})).To(Equal(http.StatusOK))
	}
	for _, address := range members {
		Eventually(report, eventuallyTimeout).WithArguments(address).Should(And(
			HaveField("State", fleet.EngineReady), HaveField("Generation", generation)))
	}
}

func setFaults(address string, f any) {
	GinkgoHelper()
	response, _ := send(http.MethodPost, address, "/control/faults", f)
	Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}

// complete sends a completion to the first engine, naming group g and
// generation 5.
func complete(attempt string, r standin.CompletionRequest) (*http.Response, string) {
	GinkgoHelper()
	r.Prompt = prompt
	return send(http.MethodPost, engineAddresses[0], "/v1/completions", r, standin.HeaderAttempt, attempt,
		standin.HeaderGroup, "g", standin.HeaderGeneration, "5", standin.HeaderOrganisation, "org")
}

// tokens returns the first n output tokens of the prompt.
func tokens(n int) (list []string) {
	for i := range n {
		list = append(list, standin.Token("org", prompt, i))
	}
	return list
}

// streamText returns the joined output of a stream's events and the number of its
// end markers.
func streamText(stream string) (output string, ends int) {
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
			Pool: "care", Count: 3, FirstAddress: engineAddresses[0], TokensPerSecond: 200, LoadMs: 20, MaxRunning: 1,
		}
		unfenced := standin.Pool{Pool: "loose", Count: 1, FirstAddress: engineAddresses[3], IgnoreFencing: true}
		set, err := standin.Start(context.Background(), standin.Config{
			Platform: &standin.PlatformConfig{Address: platformAddress, LoadsPerSecond: 100},
			Engines:  []standin.Pool{pool, unfenced},
			Servers:  []standin.Pool{{Pool: "desk", Count: 1, FirstAddress: serverAddress}},
		}, log.NewNopLogger())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			set.Close()
			http.DefaultClient.CloseIdleConnections()
		})
	})

	It("refuses commands with an old generation unless the pool ignores fencing", func() {
		// Guards against tests of requirement R2 that run against the wrong kind of
		// engine: one that accepts commands with an old generation, or one that doesn't.
		formGroup("g", 5, engineAddresses[0])
		formGroup("g", 5, engineAddresses[3])
		late := fleet.Command{Group: "old", Generation: 4, Size: 1, Service: "care-llm", Version: "v1"}
		Expect(sendCommand(engineAddresses[0], late)).To(Equal(http.StatusConflict))
		Expect(report(engineAddresses[0]).Group).To(Equal("g"))
		Expect(sendCommand(engineAddresses[3], late)).To(Equal(http.StatusOK))
		Expect(report(engineAddresses[3]).Group).To(Equal("old"))
	})

	It("sends the computed output in streamed, resumed and whole responses", func() {
		// Guards against checkers that compare responses with a wrong expected output.
		formGroup("g", 5, engineAddresses[:3]...)
		response, stream := complete("a1", standin.CompletionRequest{MaxTokens: 8, Stream: true})
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("a1"))
		Expect(response.Header.Get(standin.HeaderGeneration)).To(Equal("5"))
		output, ends := streamText(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 0, 8)))
		Expect(ends).To(Equal(1))
		_, stream = complete("a2", standin.CompletionRequest{
			MaxTokens: 3, Stream: true, ResumeTokens: tokens(5),
		})
		output, _ = streamText(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 5, 8)))
		Expect(stream).To(ContainSubstring(`"attempt":"a2","position":5`))
		response, _ = complete("a4", standin.CompletionRequest{MaxTokens: 3, ResumeTokens: []string{" other"}})
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		_, whole := complete("a3", standin.CompletionRequest{MaxTokens: 8})
		var answer standin.CompletionChunk
		Expect(json.Unmarshal([]byte(whole), &answer)).To(Succeed())
		Expect(answer.Choices[0].Text).To(Equal(standin.Text("org", prompt, 0, 8)))
		for _, member := range engineAddresses[1:3] {
			Expect(get[standin.EngineRecord](member, "/record").Steps).To(HaveLen(3))
		}
		Eventually(get[standin.EngineRecord], eventuallyTimeout).WithArguments(engineAddresses[0], "/record").Should(
			HaveField("Requests", HaveEach(HaveField("Complete", true))))
	})

	It("refuses requests for another group and requests beyond its capacity without running them", func() {
		// Guards against a request that was run although its verdict is "not run".
		formGroup("h", 5, engineAddresses[0])
		response, body := complete("a1", standin.CompletionRequest{MaxTokens: 1})
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
		Expect(response.Header.Get(verdict.Header)).To(Equal("not-run"))
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("a1"))
		Expect(body).To(ContainSubstring(`"reason":"wrong-group"`))
		Expect(get[standin.EngineRecord](engineAddresses[0], "/record").Requests).To(BeEmpty())

		formGroup("g", 5, engineAddresses[0])
		done := make(chan struct{}, 2)
		for i := range 2 {
			go func() {
				complete(fmt.Sprint("long", i), standin.CompletionRequest{MaxTokens: 100_000, Stream: true})
				done <- struct{}{}
			}()
		}
		Eventually(report, eventuallyTimeout).WithArguments(engineAddresses[0]).Should(HaveField("Running", 2))
		response, _ = complete("a2", standin.CompletionRequest{MaxTokens: 1})
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(verdict.Header)).To(Equal("not-run"))

		By("keeping the role of a released engine until its requests have ended")
		Expect(sendCommand(engineAddresses[0], fleet.Command{Generation: 5})).To(Equal(http.StatusOK))
		Expect(report(engineAddresses[0]).Group).To(Equal("g"))
		for i := range 2 {
			send(http.MethodDelete, engineAddresses[0], fmt.Sprint("/v1/attempts/long", i), nil)
			Eventually(done, eventuallyTimeout).Should(Receive())
		}
		Eventually(func() bool { r := report(engineAddresses[0]); return r.Free() }, eventuallyTimeout).Should(BeTrue())
	})

	DescribeTable("aborts a stream without an end marker when another member of the group", func(fault func()) {
		// Guards against a simulated group that completes requests although one of its
		// members doesn't take part.
		formGroup("g", 5, engineAddresses[:3]...)
		time.AfterFunc(100*time.Millisecond, fault)
		response, stream := complete("a1", standin.CompletionRequest{MaxTokens: 100_000, Stream: true})
		Expect(response).To(BeNil(), stream)
	},
		Entry("loses its role", func() { send(http.MethodPost, engineAddresses[2], "/control/restart", nil) }),
		Entry("fails a step", func() { setFaults(engineAddresses[2], standin.BackendFaults{FailSteps: true}) }),
		Entry("freezes", func() { setFaults(engineAddresses[2], standin.BackendFaults{FreezeMs: 5000}) }),
	)

	It("changes responses according to the injected faults", func() {
		// Guards against tests of requirement R3 whose injected faults have no effect.
		formGroup("g", 5, engineAddresses[0])
		request := standin.CompletionRequest{MaxTokens: 4, Stream: true}
		expected := standin.Text("org", prompt, 0, 4)
		complete("first", request)
		setFaults(engineAddresses[0], standin.BackendFaults{Cross: 1})
		response, _ := complete("a1", request)
		Expect(response.Header.Get(standin.HeaderAttempt)).To(Equal("first"))
		setFaults(engineAddresses[0], standin.BackendFaults{Double: 1})
		_, stream := complete("a2", request)
		output, ends := streamText(stream)
		Expect(output).To(Equal(expected + expected))
		Expect(ends).To(Equal(2))
		setFaults(engineAddresses[0], standin.BackendFaults{Truncate: 1})
		_, stream = complete("a3", request)
		output, ends = streamText(stream)
		Expect(output).To(Equal(standin.Text("org", prompt, 0, 2)))
		Expect(ends).To(BeZero())
		request.Stream = false
		for _, f := range []standin.BackendFaults{{Truncate: 1}, {Lose: 1}} {
			setFaults(engineAddresses[0], f)
			response, _ = complete("a4", request)
			Expect(response).To(BeNil())
			Eventually(report, eventuallyTimeout).WithArguments(engineAddresses[0]).Should(HaveField("Running", 0))
		}
		response, _ = complete("a5", request)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	DescribeTable("crashes under a request with the marker, and starts again", func(point standin.CrashPoint, whole, stream string) {
		// Guards against tests of deadly requests whose engine doesn't crash, crashes at
		// another point, or stays away.
		formGroup("g", 5, engineAddresses[0])
		boot := report(engineAddresses[0]).Boot
		setFaults(engineAddresses[0], standin.BackendFaults{DeadlyMarker: "the lodge", CrashPoint: point, RestartMs: 300})
		answer := exchange(engineAddresses[0], "/v1/completions", `{"prompt":"where is the lodge","max_tokens":4,"stream":true}`, "a1")
		Expect(answer).To(MatchRegexp("(?s)^%s$", stream))
		response, _ := send(http.MethodGet, engineAddresses[0], "/v1/status", nil)
		Expect(response).To(BeNil(), "while the engine is down")
		Eventually(func() *http.Response {
			response, _ := send(http.MethodGet, engineAddresses[0], "/v1/status", nil)
			return response
		}, eventuallyTimeout).ShouldNot(BeNil())
		Expect(report(engineAddresses[0])).To(And(HaveField("Boot", Not(Equal(boot))), HaveField("Group", "")))
		Expect(get[standin.EngineRecord](engineAddresses[0], "/record").Requests).To(HaveExactElements(HaveField("Error", ContainSubstring("crashed"))))

		setFaults(serverAddress, standin.BackendFaults{DeadlyMarker: "the lodge", CrashPoint: point, RestartMs: 300})
		Expect(exchange(serverAddress, "/charge", "to the lodge", "a2")).To(MatchRegexp("(?s)^%s$", whole))
		Expect(exchange(serverAddress, "/charge", "sound", "a3")).To(BeEmpty())
		Eventually(exchange, eventuallyTimeout).WithArguments(serverAddress, "/charge", "sound", "a4").Should(HavePrefix("HTTP/1.1 200"))
	},
		Entry("at the start", standin.CrashAtStart, "", ""),
		Entry("after the head", standin.CrashAfterHead, "HTTP/1.1 200 OK.*\r\n\r\n", "HTTP/1.1 200 OK.*\r\n\r\n"),
		Entry("after some events", standin.CrashAfterEvents, "HTTP/1.1 200 OK.*\r\n\r\n", `HTTP/1.1 200 OK.*"position":1,[^D]*`),
	)

	It("goes on after a freeze, and sends responses without a length or early", func() {
		// Guards against tests of silent engines and of unframed and early responses whose
		// fault has no effect or breaks the response.
		formGroup("g", 5, engineAddresses[0])
		time.AfterFunc(50*time.Millisecond, func() { setFaults(engineAddresses[0], standin.BackendFaults{FreezeMs: 1000}) })
		started := time.Now()
		_, stream := complete("a1", standin.CompletionRequest{MaxTokens: 40, Stream: true})
		_, ends := streamText(stream)
		Expect(ends).To(Equal(1))
		Expect(time.Since(started)).To(BeNumerically(">", time.Second))

		setFaults(engineAddresses[0], standin.BackendFaults{Unframed: 1})
		answer := exchange(engineAddresses[0], "/v1/completions", `{"prompt":"p","max_tokens":2,"stream":true}`, "a2")
		Expect(answer).To(And(ContainSubstring("[DONE]"), Not(MatchRegexp("Content-Length|Transfer-Encoding"))))
		setFaults(serverAddress, standin.BackendFaults{Unframed: 1})
		answer = exchange(serverAddress, "/charge", "x", "a3")
		Expect(answer).To(And(ContainSubstring(`"call":1`), Not(MatchRegexp("Content-Length|Transfer-Encoding"))))

		setFaults(serverAddress, standin.BackendFaults{Early: true})
		conn := begin(serverAddress, "/charge", "a4", 1)
		defer conn.Close()
		Expect(conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))).To(Succeed())
		_, err := io.ReadFull(conn, make([]byte, len("HTTP/1.1 200 OK")))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(conn)).To(ContainSubstring(`"call":2`))
	})

	It("records every plain call, including one whose response is lost", func() {
		// Guards against a test of requirement R5 that counts calls wrongly because the
		// server doesn't record those whose response is lost.
		setFaults(serverAddress, standin.BackendFaults{Lose: 1})
		for i := range 2 {
			response, _ := send(http.MethodPost, serverAddress, "/charge", "x", standin.HeaderIdempotencyKey, "k",
				standin.HeaderAttempt, fmt.Sprint(i))
			Expect(response == nil).To(Equal(i == 0))
		}
		Expect(get[standin.ServerRecord](serverAddress, "/record").Calls).To(HaveExactElements(
			And(HaveField("Key", "k"), HaveField("Attempt", "0"), HaveField("Body", `"x"`)),
			HaveField("Number", 2)))
		send(http.MethodPost, serverAddress, "/control/leave", nil)
		Expect(get[fleet.Report](serverAddress, "/health").State).To(Equal(fleet.EngineLeaving))
		list := get[fleet.InstanceList](platformAddress, "/instances")
		Expect(list.Instance("desk-0").State).To(Equal(fleet.InstanceLeaving))
	})
})
