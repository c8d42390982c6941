package measure

import (
	"math/rand/v2"
	"time"

	"github.com/rattanlanding/rattanlanding/route"
)

// The load at the design point: 1,800 requests/s over 75 groups with about 461
// output tokens each.
const (
	requestsPerGroup = 24
	outputMean       = 545 // cut at askedTokens, which makes the mean 461
	askedTokens      = 1024
	messageMean      = 120
	thinkMin         = 12 * time.Second
	thinkMean        = 6 * time.Second
	lastTurnChance   = 1.0 / 3
	longChance       = 0.02
	longMin          = 8_000
	longMax          = 24_000
	systemPrompts    = 30
	systemMin        = 400
	systemMax        = 1_600
	tokenBytes       = 4
	textBytes        = 1 << 15
)

// turn is one request of a conversation. Its prompt repeats all earlier turns.
type turn struct {
	conversation int
	system       int
	systemTokens int
	prompt       int
	output       int
	prefix       uint64
}

// speaker is a caller that has one conversation after another.
type speaker struct {
	turn
	seed uint64
	home int
}

// population is all callers. It produces the same requests for every policy.
type population struct {
	rng      *rand.Rand
	speakers []speaker
	systems  []int
	text     []byte
	next     int
}

// newPopulation returns callers that together send rate requests a second.
func newPopulation(rng *rand.Rand, rate float64, nodes int) *population {
	p := &population{rng: rng, text: make([]byte, 2*textBytes)}
	for i := range p.text {
		p.text[i] = byte('a' + rng.IntN(26))
	}
	for range systemPrompts {
		p.systems = append(p.systems, systemMin+rng.IntN(systemMax-systemMin))
	}
	p.speakers = make([]speaker, int(rate*(thinkMin+thinkMean).Seconds()))
	for i := range p.speakers {
		s := &p.speakers[i]
		s.home = rng.IntN(nodes)
		p.renew(s)
		for rng.Float64() > lastTurnChance {
			p.extend(s)
		}
	}
	return p
}

// renew begins a conversation. A few system prompts are used far more than the
// rest.
func (p *population) renew(s *speaker) {
	p.next++
	skewed := p.rng.Float64() * p.rng.Float64()
	s.system = int(skewed * systemPrompts)
	s.conversation, s.seed = p.next, p.rng.Uint64()
	s.systemTokens = p.systems[s.system]
	s.prompt = s.systemTokens + 1 + int(p.rng.ExpFloat64()*messageMean)
	if p.rng.Float64() < longChance {
		s.prompt += longMin + p.rng.IntN(longMax-longMin)
	}
	s.output = p.length()
}

// extend adds the last answer and a message to the conversation.
func (p *population) extend(s *speaker) {
	s.prompt += s.output + 1 + int(p.rng.ExpFloat64()*messageMean)
	s.output = p.length()
}

func (p *population) length() int {
	return min(2+int(p.rng.ExpFloat64()*outputMean), askedTokens)
}

// take returns the speaker's next request and the time to the one after it.
func (p *population) take(s *speaker) (turn, time.Duration) {
	if p.rng.Float64() < lastTurnChance {
		p.renew(s)
	} else {
		p.extend(s)
	}
	t := s.turn
	t.prefix = route.Prefix(p.prompt(s))
	return t, thinkMin + time.Duration(p.rng.ExpFloat64()*float64(thinkMean))
}

// prompt returns the first part of the text of s's prompt: the system prompt,
// which is the same in many conversations, then text of its own.
func (p *population) prompt(s *speaker) string {
	size := min(s.prompt*tokenBytes, textBytes)
	shared := min(s.systemTokens*tokenBytes, size)
	text := make([]byte, 0, size)
	text = append(text, p.text[s.system:s.system+shared]...)
	own := int(s.seed % textBytes)
	return string(append(text, p.text[own:own+size-shared]...))
}
