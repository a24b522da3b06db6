package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/codec"
)

// FuzzChange guards against a panic on a malformed body of an operator's change, and
// against an accepted command that the codec of the replicated log cannot encode.
func FuzzChange(f *testing.F) {
	digest := string(hash)
	f.Add(true, `{"base":4,"hash":"`+digest+`","rules":{},"id":"1"}`)
	f.Add(true, `{"base":-1,"hash":"x","rules":null,"id":""}`)
	f.Add(false, `{"name":"night-shift","team":"press","hash":"`+digest+`","id":"1"}`)
	f.Add(false, `{"name":" ","team":"","hash":"","id":"1"}{}`)
	f.Fuzz(func(t *testing.T, ofRules bool, body string) {
		path := "/v1/keys"
		if ofRules {
			path = "/v1/rules"
		}
		c := newFakeControl()
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+token)
		recorder := httptest.NewRecorder()
		c.server.Handler().ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			require.Empty(t, c.commands, "%d %s", recorder.Code, recorder.Body)
			return
		}
		require.Len(t, c.commands, 1)
		data, err := codec.EncodeCommand(&c.commands[0])
		require.NoError(t, err)
		_, err = codec.DecodeCommand(data)
		require.NoError(t, err)
	})
}
