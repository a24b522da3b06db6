package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// gate forwards connections from the address of a minion to the life that is up. While
// the minion is dark, it accepts nothing and passes nothing on, and connections of a
// life that has ended stay silent until the next life is up. Then they are reset.
type gate struct {
	address string
	l       net.Listener

	mu     sync.Mutex
	target string // empty while the minion is dark
	conns  []net.Conn
}

func newGate(ip string) (*gate, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRun, err)
	}
	g := &gate{address: l.Addr().String(), l: l}
	go g.serve()
	return g, nil
}

func (g *gate) serve() {
	for {
		c, err := g.l.Accept()
		if err != nil {
			return
		}
		go g.forward(c)
	}
}

// forward connects c to the life that is up. A connection that is opened while the
// minion is dark gets no response, as if its first packet had been lost.
func (g *gate) forward(c net.Conn) {
	g.mu.Lock()
	target := g.target
	g.conns = append(g.conns, c)
	g.mu.Unlock()
	if target == "" {
		return // silent until open resets it
	}
	up, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	g.mu.Lock()
	g.conns = append(g.conns, up)
	g.mu.Unlock()
	go func() { g.pipe(up, c, target) }()
	g.pipe(c, up, target)
}

// pipe copies bytes while the life at target is up.
func (g *gate) pipe(dst, src net.Conn, target string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		g.mu.Lock()
		current := g.target == target
		g.mu.Unlock()
		if !current {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = dst.Close()
			} else if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// dark makes the address silent.
func (g *gate) dark() { g.mu.Lock(); g.target = ""; g.mu.Unlock() }

// open passes new connections to the life at target, and resets the older ones.
func (g *gate) open(target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	g.conns, g.target = nil, target
}

// darkTime is how long a crashed minion is silent.
const darkTime = time.Second
