package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/backend"
)

const (
	// resumePrefillTime is the engines' prefill time where completion time is measured.
	resumePrefillTime = 20 * time.Millisecond
	// resumeTokenTime is the engines' time between tokens.
	resumeTokenTime = 2 * time.Millisecond
	// resumeStreams is the number of concurrent streams of a case.
	resumeStreams = 20
	// resumeCallerRetryDelay is the assumed time until a caller repeats a request whose
	// stream failed. It is the retry-after time that the gateway gives.
	resumeCallerRetryDelay = time.Second
	// resumeDetectionTime is the time from an engine's pause to the announcement of its
	// loss, the same as in the "choice" measurement.
	resumeDetectionTime = lossDetectionTime
	// resumeMaxLosses is the number of losses in one stream after which the gateway still
	// resumes it.
	resumeMaxLosses = 16
)

// runResumeEachToken measures streams that lose their group once, one stream for each
// token position.
func runResumeEachToken(ctx context.Context, _ uint64, emit Emit) error {
	t := newResumeTestbedFakeClaims()
	defer t.close()
	for _, how := range []string{"reset", "short", "half-event"} {
		losses, wasted, restarted := 0, 0, 0
		for cut := range resumeTokens + 1 {
			s, err := t.stream(ctx, fmt.Sprintf("%s-%d", how, cut), how, cut)
			if err != nil {
				return err
			}
			losses++
			wasted += s.produced - resumeTokens
			restarted += cut
		}
		emit("resume", "loss-"+how+"/whole-answers", float64(losses), "streams")
		emit("resume", "loss-"+how+"/wasted", float64(wasted), "tokens")
		emit("restart", "loss-"+how+"/wasted", float64(restarted), "tokens, computed")
	}
	return nil
}

// runResumeRepeatedLosses measures streams that lose their group several times. With
// one loss more than resumeMaxLosses a stream must end with an error event, not with a
// truncated answer.
func runResumeRepeatedLosses(ctx context.Context, seed uint64, emit Emit) error {
	t := newResumeTestbedFakeClaims()
	defer t.close()
	random := rand.New(rand.NewPCG(seed, 4))
	for _, losses := range []int{2, 4, 8, resumeMaxLosses, resumeMaxLosses + 1} {
		whole, failed, wasted := 0, 0, 0
		for i := range resumeStreams {
			cuts := random.Perm(resumeTokens - 1)[:losses]
			for j := range cuts {
				cuts[j]++
			}
			slices.Sort(cuts)
			s, err := t.stream(ctx, fmt.Sprintf("%d-%d", losses, i), "reset", cuts...)
			switch {
			case err == nil && losses <= resumeMaxLosses:
				whole++
				wasted += s.produced - resumeTokens
			case losses > resumeMaxLosses && err != nil && strings.Contains(err.Error(), "event: error"):
				failed++
			default:
				return fmt.Errorf("stream with %d losses: %w", losses, err)
			}
		}
		name := fmt.Sprintf("losses-%d", losses)
		emit("resume", name+"/whole-answers", float64(whole), "streams")
		emit("resume", name+"/error-events", float64(failed), "streams")
		if losses <= resumeMaxLosses {
			emit("resume", name+"/wasted", float64(wasted), "tokens")
		}
	}
	return nil
}

// runResumeTimes compares the completion time of streams that lose their group.
func runResumeTimes(ctx context.Context, _ uint64, emit Emit) error {
	t := newResumeTestbedFakeClaims()
	defer t.close()
	t.prefill, t.tokenTime = resumePrefillTime, resumeTokenTime
	undisturbed, err := medianStreamTime(func(i int) error {
		_, err := t.stream(ctx, fmt.Sprintf("undisturbed-%d", i), "")
		return err
	})
	if err != nil {
		return err
	}
	emit("no loss", "completion", undisturbed, "ms")
	for _, cut := range []int{resumeTokens / 4, resumeTokens / 2, 3 * resumeTokens / 4} {
		name := fmt.Sprintf("completion-loss-after-%d-of-%d", cut, resumeTokens)
		resumed, err := medianStreamTime(func(i int) error {
			_, err := t.stream(ctx, fmt.Sprintf("resumed-%d-%d", cut, i), "reset", cut)
			return err
		})
		if err != nil {
			return err
		}
		restarted, err := medianStreamTime(func(i int) error { return t.restartStream(ctx, fmt.Sprintf("restarted-%d-%d", cut, i), cut) })
		if err != nil {
			return err
		}
		failed := restarted + float64(resumeCallerRetryDelay.Milliseconds())
		emit("resume", name, resumed, "ms")
		emit("restart", name, restarted, "ms")
		emit("fail", name, failed, "ms, computed")
		emit("restart", name+"/ratio", restarted/resumed, "to resume")
		emit("fail", name+"/ratio", failed/resumed, "to resume")
	}
	return nil
}

// medianStreamTime runs streams concurrently and returns their median time in ms.
func medianStreamTime(run func(i int) error) (float64, error) {
	times := make([]time.Duration, resumeStreams)
	var all errgroup.Group
	for i := range resumeStreams {
		all.Go(func() error {
			started := time.Now()
			err := run(i)
			times[i] = time.Since(started)
			return err
		})
	}
	err := all.Wait()
	slices.Sort(times)
	return float64(times[resumeStreams/2].Microseconds()) / 1e3, err
}

// restartStream streams directly from one engine, which is lost, and then the whole
// request from the other one. It leaves out the time that the gateway adds.
func (t *resumeTestbed) restartStream(ctx context.Context, prompt string, cut int) error {
	t.mu.Lock()
	t.streams[prompt] = &resumeStream{lossMode: "reset", cuts: []int{cut}}
	t.mu.Unlock()
	if _, err := streamCompletion(ctx, t.engines[0].URL, prompt, map[string]string{backend.HeaderGroup: resumeGroupName(0)}); err == nil {
		return fmt.Errorf("stream %s was not lost after %d tokens as planned", prompt, cut)
	}
	got, err := streamCompletion(ctx, t.engines[1].URL, prompt, map[string]string{backend.HeaderGroup: resumeGroupName(1)})
	if err == nil && got != resumeExpectedText() {
		err = fmt.Errorf("stream %s has a wrong answer: %q", prompt, got)
	}
	return err
}

// runResumePause pauses an engine silently within a stream. Its connection stays
// open, so only the gateway's stall check ends the attempt.
func runResumePause(ctx context.Context, _ uint64, emit Emit) error {
	var all errgroup.Group
	var delays [8]time.Duration
	for i := range delays {
		all.Go(func() error {
			t := newResumeTestbedFakeClaims()
			defer t.close()
			t.tokenTime, t.detectionTime = resumeTokenTime, resumeDetectionTime
			cut := 1 + i*resumeTokens/len(delays)
			started := time.Now()
			_, err := t.stream(ctx, "paused", "pause", cut)
			delays[i] = time.Since(started) - resumeTokens*resumeTokenTime
			return err
		})
	}
	if err := all.Wait(); err != nil {
		return err
	}
	slices.Sort(delays[:])
	emit("resume", "paused-engine/whole-answers", float64(len(delays)), "streams")
	emit("resume", "paused-engine/added-median", float64(delays[len(delays)/2].Milliseconds()), "ms")
	emit("resume", "paused-engine/added-worst", float64(delays[len(delays)-1].Milliseconds()), "ms")
	emit("resume", "paused-engine/loss-announced-after", float64(resumeDetectionTime.Milliseconds()), "ms, assumed")
	return nil
}
