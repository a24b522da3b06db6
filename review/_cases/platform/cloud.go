package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const upkeepTime = 2 * time.Second

// cloud is a stand-in for the platform's service of machines.
type cloud struct {
	s       *system
	address string

	mu       sync.Mutex
	machines []*machine
}

type machine struct {
	id, zone, state, minion string
	labels                  []string
	token                   uint64
	upkeep                  map[int]time.Time // when the upkeep for a wave began
}

func startCloud(s *system, ip string) (*cloud, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRun, err)
	}
	c := &cloud{s: s, address: l.Addr().String()}
	go func() { _ = http.Serve(l, c) }()
	return c, nil
}

// add lists machine n with its minion.
func (c *cloud) add(n int, zone string, labels []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{id: machineID(n), zone: zone, state: "up", minion: minionID(n), labels: labels, upkeep: map[int]time.Time{}}
	c.machines = append(c.machines, m)
	c.s.logf("platform: machine %s is listed", m.id)
}

func (c *cloud) find(id string) *machine {
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// upkeepBegan reports whether the upkeep of a machine for a wave has begun.
func (c *cloud) upkeepBegan(id string, wave int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.find(id)
	return m != nil && !m.upkeep[wave].IsZero()
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet {
		list := []any{}
		for _, m := range c.machines {
			list = append(list, map[string]any{
				"machine": m.id, "pool": "galley", "state": m.state, "zone": m.zone, "labels": m.labels, "id": m.minion,
				"capacity": map[string]any{"cpu": 64000, "memMb": 262144, "gpu": 0},
			})
		}
		c.s.logf("platform: the list of %d machines is read", len(list))
		_ = json.NewEncoder(w).Encode(map[string]any{"machines": list, "nextToken": nil})
		return
	}
	var body struct {
		Machine, Pool string
		Wave          int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	m := c.find(body.Machine)
	switch {
	case m == nil:
		w.WriteHeader(http.StatusBadRequest)
	case token < m.token:
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"fence"}`))
	case r.URL.Path == "/v1/machine-upkeep":
		m.token = token
		c.s.logf("platform: upkeep of %s for wave %d", m.id, body.Wave)
		if m.upkeep[body.Wave].IsZero() {
			m.upkeep[body.Wave] = time.Now()
			c.maintain(m)
		}
	default:
		m.token = token
		c.s.logf("platform: move of %s to %s", m.id, body.Pool)
	}
}

// maintain ends the minion of a machine, and starts another one after the upkeep.
func (c *cloud) maintain(m *machine) {
	m.state = "upkeep"
	old := m.minion
	go func() {
		c.s.mu.Lock()
		var life *minion
		for _, x := range c.s.minions {
			if x.id == old {
				life = x
			}
		}
		c.s.mu.Unlock()
		if life == nil {
			return
		}
		life.leave()
		time.Sleep(upkeepTime)
		n, _ := strconv.Atoi(m.id[2:])
		next, err := c.s.startMinion(n, m.zone, "", m.labels)
		if err != nil {
			return
		}
		c.mu.Lock()
		m.state, m.minion = "up", next.id
		c.mu.Unlock()
	}()
}
