package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"
)

// maxReply is the maximum size of a reply in bytes. The rest is not read.
const maxReply = 4 << 20

// announcer sends announcements to the platform interfaces of several hosts, in turn.
type announcer struct {
	platforms []string // host:port
	path      string
	next      atomic.Uint64
	client    *http.Client
}

func newAnnouncer(platforms []string, path string) *announcer {
	return &announcer{
		platforms: platforms,
		path:      path,
		client:    &http.Client{Transport: &http.Transport{}, Timeout: announceTimeout},
	}
}

// put sends body to the next platform interface and decodes the reply.
func (a *announcer) put(ctx context.Context, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Annotate(err, "encode announcement")
	}
	n := a.next.Add(1) - 1
	host := a.platforms[n%uint64(len(a.platforms))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+host+a.path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Annotate(err, "build announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Annotate(err, "send announcement")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return errors.Annotate(err, "read reply")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("announcement refused with status %d: %s", response.StatusCode, content)
	}
	return errors.Annotate(json.Unmarshal(content, answer), "decode reply")
}

func (a *announcer) close() { a.client.CloseIdleConnections() }
