package memory_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/memory"
)

func noPatience() time.Duration { return 0 }

// Guards against small bodies that are refused because of large ones.
func TestSmallBodiesAlwaysFit(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	full := newHolder(b, ann)
	g.Expect(full.Acquire(bodyBlocks*block, 0)).To(Succeed())
	text := strings.Repeat("x", memory.FreeSize)
	buffer := memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(iotest.DataErrReader(strings.NewReader(text)), 1<<20, noPatience)).To(Succeed())
	g.Expect(buffer.Len()).To(Equal(memory.FreeSize))
	buffer.Release()
	buffer = memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(strings.NewReader(text+"xx"), 1<<20, noPatience)).To(MatchError(memory.ErrNoMemory))
	buffer.Release()
	g.Expect(b.Used(memory.Bodies)).To(Equal(int64(bodyBlocks * block)))
}

// Guards against parts of a body that are lost, duplicated or from another body, and against
// memory that is taken as announced or isn't given back.
func TestBuffersKeepTheirBytes(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for _, length := range []int{0, 1, 2047, 2048, 2049, memory.FreeSize, memory.FreeSize + 1, 10*block - 7} {
		for range 2 {
			text := strings.Repeat("0123456789abc", length)[:length]
			buffer := memory.NewBuffer(newHolder(b, ann).Hold)
			source := iotest.OneByteReader(strings.NewReader(text[:min(length, 100)]))
			g.Expect(buffer.Fill(io.MultiReader(source, strings.NewReader(text[min(length, 100):])), int64(length), noPatience)).To(Succeed())
			g.Expect(b.Used(memory.Bodies)).To(BeNumerically("<", max(length-memory.FreeSize, 0)+2*block))
			g.Expect(string(bytes.Join(buffer.Parts(), nil))).To(Equal(text))
			var written strings.Builder
			g.Expect(buffer.Write(&written)).To(Succeed())
			g.Expect(written.String()).To(Equal(text))
			joined, err := buffer.Join(0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(joined)).To(Equal(text))
			buffer.Release()
			g.Expect(b.Used(memory.Bodies)).To(BeZero())
		}
	}
}

func TestBuffersEndAtTheirLimit(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	buffer := memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(strings.NewReader(strings.Repeat("x", 5*block)), 5*block-1, noPatience)).To(MatchError(memory.ErrTooLarge))
	buffer.Release()
	buffer = memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(strings.NewReader(strings.Repeat("x", 100*block)), 100*block, noPatience)).To(MatchError(memory.ErrNoMemory))
	buffer.Release()
	buffer = memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 10, noPatience)).To(MatchError(io.ErrUnexpectedEOF))
	buffer.Release()
	g.Expect(b.Used(memory.Bodies)).To(BeZero())
}

// Guards against a body whose blocks are used again while it is still sent.
func TestRetainedBuffersStay(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	text := strings.Repeat("x", 5*block)
	buffer := memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(buffer.Fill(strings.NewReader(text), 5*block, noPatience)).To(Succeed())
	parts, release := buffer.Parts(), buffer.Retain()
	buffer.Release()
	other := memory.NewBuffer(newHolder(b, ann).Hold)
	g.Expect(other.Fill(strings.NewReader(strings.Repeat("y", 5*block)), 5*block, noPatience)).To(Succeed())
	g.Expect(string(bytes.Join(parts, nil))).To(Equal(text))
	release()
	release()
	other.Release()
	g.Expect(b.Used(memory.Bodies)).To(BeZero())
}
