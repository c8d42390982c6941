package readall_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/rattanlanding/rattanlanding/internal/readall"
)

// Guards against a body that was cut at the limit and looks complete.
func TestLimited(t *testing.T) {
	g := NewWithT(t)
	g.Expect(readall.Limited(strings.NewReader("1234"), 4)).To(BeEquivalentTo("1234"))
	_, err := readall.Limited(strings.NewReader("12345"), 4)
	var tooLarge *readall.TooLargeError
	g.Expect(errors.As(err, &tooLarge)).To(BeTrue())
	g.Expect(tooLarge.Limit).To(BeEquivalentTo(4))
	_, err = readall.Limited(iotest.ErrReader(errors.New("reset")), 4)
	g.Expect(err).To(MatchError("reset"))
}
