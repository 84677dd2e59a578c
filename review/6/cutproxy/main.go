// Command cutproxy forwards TCP connections from one loopback network to the same last byte and port of another. SIGUSR1 cuts
// the first addresses off: what is sent to or from them is held up and lost. SIGUSR2 heals the cut: the connections that were
// open then are closed, and new ones work.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

type target struct {
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func main() {
	from := flag.String("from", "127.1.40", "first three bytes of the addresses that are listened on")
	to := flag.String("to", "127.0.40", "first three bytes of the addresses that are forwarded to")
	first := flag.Int("first", 20, "first last byte")
	count := flag.Int("count", 24, "number of addresses")
	port := flag.Int("port", 9100, "port")
	cuts := flag.Int("cut", 4, "number of addresses that are cut off")
	fromPort := flag.Int("from-port", 0, "port that is listened on, if it is another one")
	control := flag.String("control", "", "ip:port of GET /cut?last=N,N (or all, or allbut=N) and GET /heal; none if empty")
	flag.Parse()
	var all []*target
	for i := range *count {
		t := &target{conns: map[net.Conn]bool{}}
		all = append(all, t)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", *from, *first+i, cmp.Or(*fromPort, *port)))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		go t.serve(listener, fmt.Sprintf("%s.%d:%d", *to, *first+i, *port))
	}
	if *control != "" {
		go func() { _ = http.ListenAndServe(*control, controlOf(all, *first)) }()
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		for _, t := range all[:min(*cuts, len(all))] {
			t.set(s == syscall.SIGUSR1)
		}
	}
}

// controlOf cuts off addresses by their last bytes, and heals all cuts.
func controlOf(all []*target, first int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cut", func(_ http.ResponseWriter, r *http.Request) {
		named, others := strings.Split(r.FormValue("last"), ","), strings.Split(r.FormValue("allbut"), ",")
		for i, t := range all {
			last := strconv.Itoa(first + i)
			if slices.Contains(named, last) || named[0] == "all" || r.Form.Has("allbut") && !slices.Contains(others, last) {
				t.set(true)
			}
		}
	})
	mux.HandleFunc("GET /heal", func(http.ResponseWriter, *http.Request) {
		for _, t := range all {
			t.set(false)
		}
	})
	return mux
}

func (t *target) set(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut && !cut {
		for c := range t.conns {
			_ = c.Close()
		}
	}
	t.cut = cut
}

func (t *target) isCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

func (t *target) track(c net.Conn, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if open {
		t.conns[c] = true
	} else {
		delete(t.conns, c)
	}
}

func (t *target) serve(listener net.Listener, address string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		t.track(near, true)
		go func() {
			defer t.track(near, false)
			if t.isCut() {
				_, _ = io.Copy(io.Discard, near)
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				return
			}
			t.track(far, true)
			defer t.track(far, false)
			go t.forward(far, near)
			t.forward(near, far)
		}()
	}
}

// forward copies what arrives, and drops it while the address is cut off.
func (t *target) forward(to, from net.Conn) {
	defer func() {
		if !t.isCut() {
			_ = to.Close()
			_ = from.Close()
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if t.isCut() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
