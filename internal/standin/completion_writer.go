package standin

import (
	"encoding/json"
	"net/http"
)

// completionWriter writes one response with its injected faults.
type completionWriter struct {
	w          http.ResponseWriter
	completion *completion
	// source is the completion whose output is sent: an earlier one if a fault
	// crosses responses, completion itself otherwise.
	source *completion
	d      distortion
	// endToken is the index of the first token that is not sent.
	endToken int
	// sentEvents are the events of a stream that is sent twice.
	sentEvents [][]byte
}

// newCompletionWriter records the faults of a response and sets its headers.
func (e *Engine) newCompletionWriter(w http.ResponseWriter, c *completion, d distortion) *completionWriter {
	cw := &completionWriter{w: w, completion: c, source: c, d: d, endToken: c.endToken()}
	e.mu.Lock()
	other := e.lastEnded
	e.mu.Unlock()
	e.platform.events.addFaults(e.instance.ID, c.attempt, d, other != nil, c.request.Stream)
	header := c.header
	if other != nil && (d.cross || d.crossBody) {
		cw.source = other
		if d.cross {
			header = other.header
		}
	}
	if d.truncate && c.request.Stream {
		cw.endToken = (c.firstToken() + c.endToken()) / 2
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	if c.request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		if d.unframed {
			omitFraming(w)
		}
	}
	return cw
}

// chunk returns the output tokens from (included) to end (excluded).
func (cw *completionWriter) chunk(from, end int) CompletionChunk {
	choice := CompletionChoice{Text: Text(cw.source.organisation, cw.source.request.Prompt, from, end)}
	if end >= cw.completion.endToken() {
		reason := "length"
		choice.FinishReason = &reason
	}
	return CompletionChunk{
		ID: cw.source.attempt, Attempt: cw.source.attempt, Position: from, Object: "text_completion",
		Model:   cw.source.request.Model,
		Choices: []CompletionChoice{choice},
	}
}

// writeToken sends the event of output token i.
func (cw *completionWriter) writeToken(i int) {
	data, _ := json.Marshal(cw.chunk(i, i+1))
	cw.writeEvent(data)
	if cw.d.doubleEvents {
		cw.writeEvent(data)
	}
}

// writeEvent sends data as one server-sent event.
func (cw *completionWriter) writeEvent(data []byte) {
	event := append(append([]byte("data: "), data...), "\n\n"...)
	if cw.d.double {
		cw.sentEvents = append(cw.sentEvents, event)
	}
	if !cw.d.lose {
		_, _ = cw.w.Write(event)
	}
}

func (cw *completionWriter) flush() {
	if cw.completion.request.Stream && !cw.d.lose {
		_ = http.NewResponseController(cw.w).Flush()
	}
}

// finish sends the end of a stream, or the whole response without streaming.
func (cw *completionWriter) finish() error {
	if cw.d.lose {
		return errResponseLost
	}
	if !cw.completion.request.Stream {
		request := cw.completion.request
		whole := cw.chunk(cw.completion.firstToken(), cw.completion.endToken())
		tokens := PromptTokens(request.Prompt)
		whole.Usage = &CompletionUsage{tokens, request.MaxTokens, tokens + request.MaxTokens}
		data, _ := json.Marshal(whole)
		writeWithFaults(cw.w, &plainResponse{body: data}, cw.d)
		return nil
	}
	if cw.d.truncate {
		return errTruncated
	}
	cw.writeEvent([]byte("[DONE]"))
	for _, event := range cw.sentEvents {
		_, _ = cw.w.Write(event)
	}
	return nil
}
