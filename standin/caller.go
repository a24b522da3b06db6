package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// CallerConfig holds the settings of a load with a fixed number of requests. The target
// must echo the body, so that each answer can be matched with its request.
type CallerConfig struct {
	Gateways []string // host:port, used in turn
	Queue    model.QueueID
	Key      string            // bearer token, or empty
	Header   map[string]string // further headers
	// OwnKeys sends a unique Idempotency-Key with each request.
	OwnKeys  bool
	Requests int
	Rate     float64       // requests a second
	Size     int           // of each body in bytes, or more if its marker is longer
	Timeout  time.Duration // of one request, default 60 s
}

// CallerCounts holds the results that a caller observed.
type CallerCounts struct {
	Answered int // with the body of the request
	Wrong    int // answered with another body or status
	NotRun   int // refused with ran=no
	Unknown  int // refused with another ran, or the connection broke
	Kinds    map[problem.Kind]int
	Bodies   map[string]Result // by the marker in the body of the request
	Slowest  time.Duration
}

// Result is the outcome of one request of a caller.
type Result struct {
	Answered bool
	Ran      problem.Ran // from a refusal
	Kind     problem.Kind
	Request  model.RequestID
}

// RunCaller sends cfg.Requests requests at cfg.Rate and waits for all answers or until ctx
// ends. It uses one goroutine per request.
func RunCaller(ctx context.Context, cfg CallerConfig) (CallerCounts, error) {
	if cfg.Requests <= 0 || cfg.Rate <= 0 || len(cfg.Gateways) == 0 {
		return CallerCounts{}, errors.New("caller needs gateways, requests and a rate")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = time.Minute
	}
	c := &caller{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: cfg.Timeout},
		counts: CallerCounts{Kinds: make(map[problem.Kind]int), Bodies: make(map[string]Result)},
	}
	defer c.client.CloseIdleConnections()
	c.sendAll(ctx)
	return c.counts, ctx.Err()
}

type caller struct {
	cfg    CallerConfig
	client *http.Client

	mu     sync.Mutex
	counts CallerCounts
}

func (c *caller) sendAll(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.cfg.Rate))
	defer ticker.Stop()
	var sent sync.WaitGroup
	defer sent.Wait()
	for i := range c.cfg.Requests {
		sent.Go(func() { c.send(ctx, i) })
		if i == c.cfg.Requests-1 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send sends one request and counts its result.
func (c *caller) send(ctx context.Context, i int) {
	marker := uuid.NewString()
	body := c.body(marker, i)
	begun := time.Now()
	result, match := c.exchange(ctx, i, marker, body)
	c.count(marker, result, match, time.Since(begun))
}

// body returns a body that is unique to the request.
func (c *caller) body(marker string, i int) []byte {
	body := fmt.Appendf(nil, "%s %d ", marker, i)
	for len(body) < c.cfg.Size {
		body = append(body, byte('a'+len(body)%26))
	}
	return body
}

// exchange sends the request. match reports whether the answer equals the body of the
// request byte for byte.
func (c *caller) exchange(ctx context.Context, i int, marker string, body []byte) (result Result, match bool) {
	noAnswer := Result{Ran: problem.RanUnknown}
	gateway := c.cfg.Gateways[i%len(c.cfg.Gateways)]
	url := "http://" + gateway + "/v1/queues/" + string(c.cfg.Queue) + "/requests"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return noAnswer, false
	}
	request.GetBody = nil // the client must not resend by itself
	c.setHeader(request, marker)
	response, err := c.client.Do(request)
	if err != nil {
		return noAnswer, false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return noAnswer, false
	}
	id := model.RequestID(response.Header.Get("Primrosedale-Request-Id"))
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return refusal(content, id), false
	}
	echoed := response.StatusCode == http.StatusOK && bytes.Equal(content, body)
	return Result{Answered: true, Request: id}, echoed
}

func (c *caller) setHeader(request *http.Request, marker string) {
	if c.cfg.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if c.cfg.OwnKeys {
		request.Header["Idempotency-Key"] = []string{marker}
	}
	for name, value := range c.cfg.Header {
		request.Header.Set(name, value)
	}
}

func refusal(content []byte, id model.RequestID) Result {
	var body struct {
		Kind problem.Kind `json:"kind"`
		Ran  problem.Ran  `json:"ran"`
	}
	if err := json.Unmarshal(content, &body); err != nil || body.Ran == "" {
		return Result{Ran: problem.RanUnknown, Request: id}
	}
	return Result{Ran: body.Ran, Kind: body.Kind, Request: id}
}

func (c *caller) count(marker string, result Result, match bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Bodies[marker] = result
	c.counts.Slowest = max(c.counts.Slowest, took)
	switch {
	case match:
		c.counts.Answered++
	case result.Answered:
		c.counts.Wrong++
	case result.Ran == problem.RanNo:
		c.counts.NotRun++
	default:
		c.counts.Unknown++
	}
	if result.Kind != "" {
		c.counts.Kinds[result.Kind]++
	}
}
