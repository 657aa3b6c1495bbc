package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Proxy stands between a gateway and the store. While it is cut it is like a link that loses all packets: what is on the way on open
// connections waits, and new connections are not established, as their opening packets are dropped.
type Proxy struct {
	listener *net.TCPListener
	target   string

	mu sync.Mutex
	// healed is closed while the link is sound.
	healed  chan struct{}
	fillers []net.Conn
}

const (
	soundBacklog = 128
	// cutBacklog is that of a cut link: one connection that is not accepted makes the system drop the opening packets of others.
	cutBacklog = 0
)

// setBacklog changes the number of connections that may wait until they are accepted.
func (p *Proxy) setBacklog(n int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// NewProxy starts a proxy to the target on a free port of the IP address.
func NewProxy(ip, target string) (*Proxy, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	a := &syscall.SockaddrInet4{}
	copy(a.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, a); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, soundBacklog); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "proxy")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l.(*net.TCPListener), target: target, healed: make(chan struct{})}
	close(p.healed)
	go p.run()
	return p, nil
}

// Address is the proxy's IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) sound() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *Proxy) run() {
	for {
		<-p.sound()
		c, err := p.listener.Accept()
		if err == nil {
			go p.forward(c)
		}
	}
}

func (p *Proxy) forward(c net.Conn) {
	defer c.Close()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	go p.pass(c, t)
	p.pass(t, c)
}

func (p *Proxy) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-p.sound()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Cut cuts the link. It returns an error if new connections are still established.
func (p *Proxy) Cut() error {
	p.mu.Lock()
	p.healed = make(chan struct{})
	p.mu.Unlock()
	_ = p.listener.SetDeadline(time.Now())
	time.Sleep(5 * time.Millisecond)
	if err := p.setBacklog(cutBacklog); err != nil {
		return err
	}
	for range 10 {
		c, err := net.DialTimeout("tcp", p.Address(), 60*time.Millisecond)
		if err != nil {
			return nil
		}
		p.fillers = append(p.fillers, c)
	}
	return fmt.Errorf("the link can't be cut")
}

// Heal makes the link sound again.
func (p *Proxy) Heal() error {
	if err := p.setBacklog(soundBacklog); err != nil {
		return err
	}
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	_ = p.listener.SetDeadline(time.Time{})
	p.mu.Lock()
	close(p.healed)
	p.mu.Unlock()
	return nil
}
