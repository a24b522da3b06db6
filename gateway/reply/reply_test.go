package reply

import (
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/problem"
)

// Guards against a body that has not arrived in time and is refused as malformed.
func TestStalledBodyIsNotMalformed(t *testing.T) {
	for _, arrived := range []string{"", `{"a":`, `{"a":1}`} {
		body := io.MultiReader(strings.NewReader(arrived), iotest.ErrReader(os.ErrDeadlineExceeded))
		var v struct{ A int }
		p := Decode(httptest.NewRecorder(), httptest.NewRequest("PUT", "/", body), 100, problem.RulesRejected, &v)
		require.NotNil(t, p)
		require.Equal(t, problem.BodyStalled, p.Kind, "after %q", arrived)
	}
}
