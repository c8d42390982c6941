package measure

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
)

// The load at the design point: 1,800 requests/s over 75 groups with about 461
// output tokens each.
const (
	requestsPerGroup      = 24               // per second
	outputMean            = 545              // output tokens; cut at maxOutputTokens, which makes the mean 461
	maxOutputTokens       = 1024             // of one request
	messageMean           = 120              // tokens that a caller adds to a conversation
	thinkMin              = 12 * time.Second // between two requests of a caller
	thinkMean             = 6 * time.Second  // random time added to thinkMin
	lastTurnProbability   = 1.0 / 3          // that a conversation ends with a turn
	longPromptProbability = 0.02             // that a conversation begins with a long prompt
	longPromptMin         = 8_000            // tokens added to a long prompt
	longPromptMax         = 24_000
	systemPrompts         = 30  // number of different system prompts
	systemPromptMin       = 400 // tokens
	systemPromptMax       = 1_600
	tokenBytes            = 4       // text bytes per token
	textBytes             = 1 << 15 // most bytes of a prompt's text that are generated
)

// turn is one request of a conversation. Its prompt repeats all earlier turns.
type turn struct {
	conversation int    // number of the conversation
	system       int    // number of the system prompt
	systemTokens int    // length of the system prompt
	prompt       int    // tokens of the whole prompt
	output       int    // tokens of the answer
	prefix       uint64 // hash by which the policies recognise equal prefixes
}

// simCaller is a caller that has one conversation after another.
type simCaller struct {
	turn
	seed     uint64 // selects the conversation's own text
	homeNode int    // index of the node that usually receives the requests
}

// population is the set of all callers. It produces the same requests for every policy.
type population struct {
	rng                *rand.Rand
	callers            []simCaller
	systemPromptTokens []int
	text               []byte
	lastConversation   int
}

// newPopulation returns callers that together send rate requests per second.
func newPopulation(rng *rand.Rand, rate float64, nodes int) *population {
	p := &population{rng: rng, text: make([]byte, 2*textBytes)}
	for i := range p.text {
		p.text[i] = byte('a' + rng.IntN(26))
	}
	for range systemPrompts {
		p.systemPromptTokens = append(p.systemPromptTokens, systemPromptMin+rng.IntN(systemPromptMax-systemPromptMin))
	}
	p.callers = make([]simCaller, int(rate*(thinkMin+thinkMean).Seconds()))
	for i := range p.callers {
		c := &p.callers[i]
		c.homeNode = rng.IntN(nodes)
		p.startConversation(c)
		for rng.Float64() > lastTurnProbability {
			p.extendConversation(c)
		}
	}
	return p
}

// startConversation begins a new conversation of a caller. A few system prompts are
// used far more often than the rest.
func (p *population) startConversation(c *simCaller) {
	p.lastConversation++
	skewed := p.rng.Float64() * p.rng.Float64()
	c.system = int(skewed * systemPrompts)
	c.conversation, c.seed = p.lastConversation, p.rng.Uint64()
	c.systemTokens = p.systemPromptTokens[c.system]
	c.prompt = c.systemTokens + 1 + int(p.rng.ExpFloat64()*messageMean)
	if p.rng.Float64() < longPromptProbability {
		c.prompt += longPromptMin + p.rng.IntN(longPromptMax-longPromptMin)
	}
	c.output = p.outputLength()
}

// extendConversation adds the last answer and a new message to the prompt.
func (p *population) extendConversation(c *simCaller) {
	c.prompt += c.output + 1 + int(p.rng.ExpFloat64()*messageMean)
	c.output = p.outputLength()
}

// outputLength draws the number of output tokens of a request.
func (p *population) outputLength() int {
	return min(2+int(p.rng.ExpFloat64()*outputMean), maxOutputTokens)
}

// nextRequest returns the caller's next request and the time until the one after it.
func (p *population) nextRequest(c *simCaller) (turn, time.Duration) {
	if p.rng.Float64() < lastTurnProbability {
		p.startConversation(c)
	} else {
		p.extendConversation(c)
	}
	t := c.turn
	t.prefix = route.Prefix(p.promptText(c))
	return t, thinkMin + time.Duration(p.rng.ExpFloat64()*float64(thinkMean))
}

// promptText returns the beginning of the text of c's prompt: the system prompt,
// which many conversations share, then text of the conversation's own.
func (p *population) promptText(c *simCaller) string {
	size := min(c.prompt*tokenBytes, textBytes)
	shared := min(c.systemTokens*tokenBytes, size)
	text := make([]byte, 0, size)
	text = append(text, p.text[c.system:c.system+shared]...)
	own := int(c.seed % textBytes)
	return string(append(text, p.text[own:own+size-shared]...))
}
