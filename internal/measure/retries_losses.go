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
	// Times of the engines where the completion time is measured.
	resumePrefill   = 20 * time.Millisecond
	resumeTokenTime = 2 * time.Millisecond
	// resumeStreams is the number of streams of a case, at the same time.
	resumeStreams = 20
	// resumeCallerWait is the assumed time until a caller repeats a request whose
	// stream failed. It is the retry-after time that the gateway gives.
	resumeCallerWait = time.Second
	// resumeDetect is the time from a pause to the announced loss, as in the
	// measurement of the group choice.
	resumeDetect = lossAnnounced
	// resumeMost is the number of losses that the gateway survives in a stream.
	resumeMost = 16
)

// runResumeOnce loses the group once at every token of a stream.
func runResumeOnce(ctx context.Context, _ uint64, emit Emit) error {
	w := newPlainResumeWorld()
	defer w.close()
	for _, how := range []string{"reset", "short", "half-event"} {
		losses, wasted, restarted := 0, 0, 0
		for cut := range resumeTokens + 1 {
			s, err := w.stream(ctx, fmt.Sprintf("%s-%d", how, cut), how, cut)
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

// runResumeOften loses the group several times within one stream. One loss more
// than the gateway survives must end with an error event, not a short answer.
func runResumeOften(ctx context.Context, seed uint64, emit Emit) error {
	w := newPlainResumeWorld()
	defer w.close()
	random := rand.New(rand.NewPCG(seed, 4))
	for _, losses := range []int{2, 4, 8, resumeMost, resumeMost + 1} {
		whole, failed, wasted := 0, 0, 0
		for i := range resumeStreams {
			cuts := random.Perm(resumeTokens - 1)[:losses]
			for j := range cuts {
				cuts[j]++
			}
			slices.Sort(cuts)
			s, err := w.stream(ctx, fmt.Sprintf("%d-%d", losses, i), "reset", cuts...)
			switch {
			case err == nil && losses <= resumeMost:
				whole++
				wasted += s.produced - resumeTokens
			case losses > resumeMost && err != nil && strings.Contains(err.Error(), "event: error"):
				failed++
			default:
				return fmt.Errorf("stream with %d losses: %w", losses, err)
			}
		}
		name := fmt.Sprintf("losses-%d", losses)
		emit("resume", name+"/whole-answers", float64(whole), "streams")
		emit("resume", name+"/error-events", float64(failed), "streams")
		if losses <= resumeMost {
			emit("resume", name+"/wasted", float64(wasted), "tokens")
		}
	}
	return nil
}

// runResumeTimes compares the completion time of streams that lose their group.
func runResumeTimes(ctx context.Context, _ uint64, emit Emit) error {
	w := newPlainResumeWorld()
	defer w.close()
	w.prefill, w.tokenTime = resumePrefill, resumeTokenTime
	undisturbed, err := resumeMedian(func(i int) error {
		_, err := w.stream(ctx, fmt.Sprintf("undisturbed-%d", i), "")
		return err
	})
	if err != nil {
		return err
	}
	emit("no loss", "completion", undisturbed, "ms")
	for _, cut := range []int{resumeTokens / 4, resumeTokens / 2, 3 * resumeTokens / 4} {
		name := fmt.Sprintf("completion-loss-after-%d-of-%d", cut, resumeTokens)
		resumed, err := resumeMedian(func(i int) error {
			_, err := w.stream(ctx, fmt.Sprintf("resumed-%d-%d", cut, i), "reset", cut)
			return err
		})
		if err != nil {
			return err
		}
		restarted, err := resumeMedian(func(i int) error { return w.restart(ctx, fmt.Sprintf("restarted-%d-%d", cut, i), cut) })
		if err != nil {
			return err
		}
		failed := restarted + float64(resumeCallerWait.Milliseconds())
		emit("resume", name, resumed, "ms")
		emit("restart", name, restarted, "ms")
		emit("fail", name, failed, "ms, computed")
		emit("restart", name+"/ratio", restarted/resumed, "to resume")
		emit("fail", name+"/ratio", failed/resumed, "to resume")
	}
	return nil
}

// resumeMedian runs streams at the same time and returns their median time in ms.
func resumeMedian(run func(i int) error) (float64, error) {
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

// restart streams straight from one engine, which is lost, and then the whole
// request from the other one. It saves the way through the gateway.
func (w *resumeWorld) restart(ctx context.Context, prompt string, cut int) error {
	w.mu.Lock()
	w.streams[prompt] = &resumeStream{how: "reset", cuts: []int{cut}}
	w.mu.Unlock()
	if _, err := resumeOnce(ctx, w.engines[0].URL, prompt, map[string]string{backend.HeaderGroup: resumeGroup(0)}); err == nil {
		return fmt.Errorf("%s: the loss did not happen", prompt)
	}
	got, err := resumeOnce(ctx, w.engines[1].URL, prompt, map[string]string{backend.HeaderGroup: resumeGroup(1)})
	if err == nil && got != resumeWant() {
		err = fmt.Errorf("%s: answer is %q", prompt, got)
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
			w := newPlainResumeWorld()
			defer w.close()
			w.tokenTime, w.detect = resumeTokenTime, resumeDetect
			cut := 1 + i*resumeTokens/len(delays)
			started := time.Now()
			_, err := w.stream(ctx, "paused", "pause", cut)
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
	emit("resume", "paused-engine/loss-announced-after", float64(resumeDetect.Milliseconds()), "ms, assumed")
	return nil
}
