package operator

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/burn"
)

// Guards against a report that can be read without the operators' token, or that is
// empty because it was built from the answer to another query.
func TestReportNeedsTheTokenAndIsComplete(t *testing.T) {
	c := newFakeControl()
	status, _ := c.do(t, http.MethodGet, "/v1/report", "", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, body := c.do(t, http.MethodGet, "/v1/report", "", token)
	require.Equal(t, http.StatusOK, status)
	var r burn.Report
	require.NoError(t, json.Unmarshal([]byte(body), &r))
	require.Equal(t, uint64(4), r.Revision)
	require.True(t, r.OnTime)
	c.queueFull = true
	status, _ = c.do(t, http.MethodGet, "/v1/report", "", token)
	require.Equal(t, http.StatusServiceUnavailable, status)
}
