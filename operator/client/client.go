// Package client calls the operator interface of an entry host.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"primrosedale.example/primrosedale/core/burn"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
	"primrosedale.example/primrosedale/core/view"
	"primrosedale.example/primrosedale/operator"
	"primrosedale.example/primrosedale/rulesfile"
)

const (
	requestTimeout = 15 * time.Second
	maxAnswerBytes = 8 << 20
	// keyBytes is the size of a key before its encoding.
	keyBytes = 32
	// maxSends bounds how often a change is sent while its answers are lost. Each
	// attempt carries the same id, so that the change is made once.
	maxSends    = 4
	resendDelay = 500 * time.Millisecond
	// changeTimeout bounds a change with all its resends. It allows for four
	// unresponsive hosts of one data centre ahead of one that answers. Without it,
	// nine unresponsive hosts delayed the result by up to 9 minutes.
	changeTimeout = 60 * time.Second
	// dialTimeout is short, so that an unreachable host uses little of changeTimeout.
	dialTimeout = 2 * time.Second
)

// Client calls one entry host after another until one answers.
type Client struct {
	baseURLs []string
	http     *http.Client
	timeout  time.Duration // of a change with its resends
}

// New returns a Client for the operator addresses (IP:port). A nil TLS
// configuration means plain HTTP.
func New(addresses []string, tlsConfig *tls.Config) *Client {
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	c := &Client{timeout: changeTimeout, http: &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			TLSClientConfig: tlsConfig,
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
	}}
	for _, a := range addresses {
		c.baseURLs = append(c.baseURLs, scheme+a)
	}
	return c
}

// Refusal is the problem document of an unsuccessful answer.
type Refusal struct {
	Status int          `json:"status"`
	Kind   problem.Kind `json:"kind"`
	Detail string       `json:"detail"`
	Ran    problem.Ran  `json:"ran"`
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }

// Status returns the status from the first host that answers. The leader's status is
// the most complete, but if another host answers, the leader it names is not asked.
func (c *Client) Status(ctx context.Context) (*view.Status, error) {
	var s view.Status
	return &s, c.callAny(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// StatusFromEach returns the status from each address, or nil for one that does not
// answer.
func (c *Client) StatusFromEach(ctx context.Context) []*view.Status {
	list := make([]*view.Status, len(c.baseURLs))
	for i, base := range c.baseURLs {
		var s view.Status
		if c.call(ctx, base, http.MethodGet, "/v1/status", nil, &s) == nil {
			list[i] = &s
		}
	}
	return list
}

// Rules returns the rules in force on the host that answers.
func (c *Client) Rules(ctx context.Context) (*operator.RulesAnswer, error) {
	var a operator.RulesAnswer
	return &a, c.callAny(ctx, http.MethodGet, "/v1/rules", nil, &a)
}

// Report returns the burn report of the host that answers. Every host has it.
func (c *Client) Report(ctx context.Context) (*burn.Report, error) {
	var r burn.Report
	return &r, c.callAny(ctx, http.MethodGet, "/v1/report", nil, &r)
}

// Apply submits a rules file, which replaces the revision before its own. If the
// answer is lost, it resends the file with the same id.
func (c *Client) Apply(ctx context.Context, f *rulesfile.File) (*operator.ChangeAnswer, error) {
	var a operator.ChangeAnswer
	return &a, c.change(ctx, http.MethodPost, "/v1/rules", operator.RulesChange{
		Base: f.Rules.Revision - 1, Hash: f.Hash, Rules: f.Rules, ID: newID(),
	}, &a)
}

// GrantKey generates a key for a team and returns it. Only the hash of the key is
// stored, so it cannot be shown again.
func (c *Client) GrantKey(ctx context.Context, name string, team model.TeamID) (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Annotate(err, "generating a key")
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	var a operator.ChangeAnswer
	err := c.change(ctx, http.MethodPost, "/v1/keys", operator.KeyGrant{
		Name: name, Team: team, Hash: model.Digest(hex.EncodeToString(sum[:])), ID: newID(),
	}, &a)
	return key, err
}

// WithdrawKey revokes the key of this name.
func (c *Client) WithdrawKey(ctx context.Context, name string) error {
	var a operator.ChangeAnswer
	path := "/v1/keys/" + url.PathEscape(name) + "?id=" + string(newID())
	return c.change(ctx, http.MethodDelete, path, nil, &a)
}

func newID() model.CommandID { return model.CommandID(uuid.NewString()) }

// change sends a change until its outcome is known, maxSends is reached or the
// timeout expires.
func (c *Client) change(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var uncertain, err error
	for range maxSends {
		err = c.callAny(ctx, method, path, body, answer)
		if !retryable(err) {
			return err
		}
		uncertain = preferUnknownOutcome(uncertain, err)
		select {
		case <-time.After(resendDelay):
		case <-ctx.Done():
			return preferUnknownOutcome(uncertain, ctx.Err())
		}
	}
	return preferUnknownOutcome(uncertain, err)
}

// preferUnknownOutcome combines the errors of a change that was sent several times. It
// returns the earlier error, uncertain, if the change may have been made despite it,
// otherwise err: a later failure does not prove that an earlier attempt had no effect.
func preferUnknownOutcome(uncertain, err error) error {
	if uncertain != nil && MayBeApplied(uncertain) {
		return uncertain
	}
	return err
}

// MayBeApplied reports whether a change whose request ended with err may have been
// made. Only a failure to connect, or a refusal that says so, proves that it was not.
func MayBeApplied(err error) bool {
	var refusal *Refusal
	var network *net.OpError
	switch {
	case err == nil:
		return true
	case errors.As(err, &refusal):
		return refusal.Ran != problem.RanNo
	case errors.As(err, &network):
		return network.Op != "dial"
	}
	return true
}

// retryable reports whether sending the same request again may give another result.
func retryable(err error) bool {
	if err == nil {
		return false
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return problem.Lookup(refusal.Kind).Retryable
	}
	return true
}

// callAny calls one host after another until one gives a conclusive answer.
func (c *Client) callAny(ctx context.Context, method, path string, body, answer any) error {
	var uncertain error
	err := errors.New("no address was given")
	for _, base := range c.baseURLs {
		err = c.call(ctx, base, method, path, body, answer)
		if !retryable(err) {
			return err
		}
		uncertain = preferUnknownOutcome(uncertain, err)
		if ctx.Err() != nil {
			break
		}
	}
	return preferUnknownOutcome(uncertain, err)
}

func (c *Client) call(ctx context.Context, base, method, path string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Annotate(err, "encoding the request")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, reader)
	if err != nil {
		return errors.Annotate(err, "building the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Annotatef(err, "asking %s", base)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotatef(err, "reading the answer of %s", base)
	}
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp.StatusCode, data)
	}
	return errors.Annotatef(json.Unmarshal(data, answer), "decoding the answer of %s", base)
}

func parseRefusal(status int, data []byte) error {
	r := &Refusal{}
	if err := json.Unmarshal(data, r); err != nil || r.Kind == "" {
		return errors.Errorf("status %d without a problem document", status)
	}
	return r
}
