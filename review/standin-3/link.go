package main

import (
	"fmt"
	"net"
	"sync"
)

// link carries the channels from one entry host to another. While it is cut it holds back what is sent, without a word.
type link struct {
	from, to *host
	address  string
	mu       sync.Mutex
	healed   chan struct{} // nil while the link is whole
}

func newLink(d *deployment, from, to *host) *link {
	l := &link{from: from, to: to}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.network, linkByte))
	if err != nil {
		cannotRun("listen: " + err.Error())
	}
	l.address = listener.Addr().String()
	if len(l.address) != len(to.peer) {
		cannotRun("addresses of different lengths")
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l
}

func (l *link) carry(c net.Conn) {
	defer c.Close()
	l.await()
	far, err := net.Dial("tcp", l.to.peer)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer far.Close()
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			l.await()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go pass(far, c)
	go pass(c, far)
	<-ended
}

// await waits until the link is whole.
func (l *link) await() {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

// cutOff cuts or heals the links between a host and all others.
func (d *deployment) cutOff(h *host, cut bool) {
	d.log.add("%s is cut off from the other entry hosts: %t", h.name, cut)
	for _, l := range d.cuts {
		if l.from != h && l.to != h {
			continue
		}
		l.mu.Lock()
		if cut {
			l.healed = make(chan struct{})
		} else {
			close(l.healed)
			l.healed = nil
		}
		l.mu.Unlock()
	}
}
