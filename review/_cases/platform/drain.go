package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lossSlack is lossSlackMs of the settings.
const lossSlack = 200 * time.Millisecond

// playDrain: the front machines are stopped with SIGTERM and started again in turn, while
// clients open a connection for each call. A call counts as lost if its connection ends
// without a whole answer later than lossSlack after its last byte was sent.
func playDrain(s *system, trouble bool) ([]string, error) {
	if _, err := startWithMinions(s, 6); err != nil {
		return nil, err
	}
	const job = "00000000000000d1"
	if err := submitTask(s, job, map[string]any{"count": 1, "estimateMs": 500}); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	lost, early, answered := 0, 0, 0
	var broken []string
	stop := time.Now().Add(80 * time.Second)
	var clients sync.WaitGroup
	for c := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			p := s.fronts[c%len(s.fronts)]
			for time.Now().Before(stop) {
				sentAt, err := s.rawGet(p, job)
				mu.Lock()
				switch {
				case err == nil:
					answered++
				case errors.Is(err, syscall.ECONNREFUSED): // not accepted
				case sentAt.IsZero():
				case time.Since(sentAt) > lossSlack:
					lost++
					broken = append(broken, fmt.Sprintf("LOST: a call to %s ended after %v: %v", p.name, time.Since(sentAt).Round(time.Millisecond), err))
				default:
					early++
				}
				mu.Unlock()
				if err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	if trouble {
		for i := 0; time.Until(stop) > 8*time.Second; i++ {
			s.signal(s.fronts[i%len(s.fronts)], syscall.SIGTERM)
			time.Sleep(2 * time.Second)
		}
	}
	clients.Wait()
	s.logf("%d answered, %d lost, %d connections ended sooner than %v without an answer", answered, lost, early, lossSlack)
	fmt.Printf("%d answered, %d lost, %d ended early\n", answered, lost, early)
	return broken, nil
}

// rawGet sends one GET on a connection of its own. It returns when the last byte was sent.
func (s *system) rawGet(p *process, job string) (time.Time, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, s.frontPort), time.Second)
	if err != nil {
		return time.Time{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "GET /run/%s HTTP/1.1\r\nHost: press.example\r\nAuthorization: Bearer key-of-anthology\r\nDeadline-Ms: 3000\r\n\r\n", job); err != nil {
		return time.Time{}, err
	}
	sentAt := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return sentAt, err
	}
	_ = resp.Body.Close()
	return sentAt, nil
}
