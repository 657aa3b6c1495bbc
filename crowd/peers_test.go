package crowd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/wire"
)

// datagramBytes is about the longest datagram that a gateway reads.
const datagramBytes = 50 << 10

// flood sends datagrams to the port for peers of a gateway on the platform while the crowd lasts.
func (p *process) flood(next func() *wire.Datagram) {
	ctx, cancel := context.WithTimeout(context.Background(), *crowdTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := net.Dial("udp", p.peers)
		if err != nil {
			return
		}
		defer c.Close()
		for ctx.Err() == nil {
			data, _ := proto.Marshal(next())
			_, _ = c.Write(data)
		}
	}()
	<-done
	p.measure()
}

// stranger returns the name of a gateway that nobody knows.
func stranger() string { return fmt.Sprint("stranger-", rand.Uint64()) }

// Guards against a process that keeps what gateways say that nobody knows.
func TestEntryOutlivesDatagrams(t *testing.T) {
	filler := make([]string, datagramBytes/100)
	for i := range filler {
		filler[i] = fmt.Sprintf("%0100d", i)
	}
	for name, next := range map[string]func() *wire.Datagram{
		"digests": func() *wire.Datagram {
			d := &wire.Digest{Vm: stranger(), Life: rand.Uint64(), Number: 1, Unreachable: filler}
			return &wire.Datagram{Body: &wire.Datagram_Digest{Digest: d}}
		},
		"small digests": func() *wire.Datagram {
			return &wire.Datagram{Body: &wire.Datagram_Digest{Digest: &wire.Digest{Vm: stranger(), Life: rand.Uint64(), Number: 1}}}
		},
		"demand": func() *wire.Datagram {
			d := &wire.Digest{Vm: stranger(), Life: rand.Uint64(), Number: 1}
			for range 300 {
				d.Needs = append(d.Needs, &wire.ModelNeed{Service: "a", Model: stranger(), Missed: 1})
			}
			return &wire.Datagram{Body: &wire.Datagram_Digest{Digest: d}}
		},
		"residency": func() *wire.Datagram {
			m := &wire.ResidencyChanges{}
			for range 500 {
				m.Changes = append(m.Changes, &wire.Residency{Upstream: "app-1", Model: stranger(), Orders: rand.Int64N(1000), Born: 1})
			}
			return &wire.Datagram{Body: &wire.Datagram_ResidencyChanges{ResidencyChanges: m}}
		},
		"loads": func() *wire.Datagram {
			m := &wire.PendingLoads{}
			for range 500 {
				m.Loads = append(m.Loads, &wire.PendingLoad{Upstream: stranger(), Model: stranger(), Orders: 1, DueMs: 1 << 40})
			}
			return &wire.Datagram{Body: &wire.Datagram_PendingLoads{PendingLoads: m}}
		},
		"requests of parts": func() *wire.Datagram {
			r := &wire.PartRequest{Part: rand.Uint64(), Permit: rand.Uint64()}
			return &wire.Datagram{Body: &wire.Datagram_Part{Part: &wire.PartMessage{Body: &wire.PartMessage_Request{Request: r}}}}
		},
		"suspect parts": func() *wire.Datagram {
			m := &wire.PartSuspects{}
			for range 500 {
				crash := &wire.PartCrash{Id: rand.Uint64()}
				m.Suspects = append(m.Suspects, &wire.PartSuspect{Part: rand.Uint64(), Crashes: []*wire.PartCrash{crash}})
			}
			return &wire.Datagram{Body: &wire.Datagram_Part{Part: &wire.PartMessage{Body: &wire.PartMessage_Suspects{Suspects: m}}}}
		},
		"tokens": func() *wire.Datagram {
			return &wire.Datagram{Body: &wire.Datagram_Withdrawal{Withdrawal: &wire.Withdrawal{Id: rand.Uint64(), Customer: stranger(), Tokens: 1}}}
		},
		"deposits": func() *wire.Datagram {
			m := &wire.Deposits{Vm: stranger(), Life: rand.Uint64(), Number: 1}
			for range 500 {
				m.Deposits = append(m.Deposits, &wire.Deposit{Customer: stranger(), Tokens: 1})
			}
			return &wire.Datagram{Body: &wire.Datagram_Deposits{Deposits: m}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			assert.Assert(t, p.peers != "")
			p.flood(next)
			p.check()
		})
	}
}
