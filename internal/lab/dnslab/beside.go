package dnslab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
)

// httpTraffic sends HTTP bookings through the sidecar under test to a stub HTTP server, and floods the sidecar's DNS
// front with queries whose answers nobody reads. The counters may be read at any time.
type httpTraffic struct {
	addr         string // of the stub HTTP server
	sidecarURL   string // of the sidecar's HTTP front
	server       *http.Server
	requested    atomic.Int64
	served       atomic.Int64
	floodQueries atomic.Int64
}

func newHTTPTraffic() (*httpTraffic, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	traffic := &httpTraffic{addr: ln.Addr().String()}
	traffic.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(2 * time.Millisecond) // service time of a booking
		io.WriteString(w, "booked")
	})}
	go traffic.server.Serve(ln)
	return traffic, nil
}

func (b *httpTraffic) close() { b.server.Close() }

func (b *httpTraffic) servedShare() float64 {
	return float64(b.served.Load()) / float64(max(1, b.requested.Load()))
}

// sendRequests sends bookings at the given rate, in requests a second, until ctx ends. It returns when all of them have
// ended. A rate of 0 sends none.
func (b *httpTraffic) sendRequests(ctx context.Context, rate float64) {
	if rate <= 0 {
		return
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		inFlight.Go(func() {
			b.requested.Add(1)
			r, err := http.NewRequest("POST", b.sidecarURL+"/confirm", strings.NewReader("slot"))
			if err != nil {
				return
			}
			r.Header.Set("X-Trace-Id", fmt.Sprintf("b%d", n))
			r.Header.Set("X-Qos", "confirm")
			resp, err := client.Do(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.served.Add(1)
			}
		})
	}
}

// flood sends queries from another address prefix than the clients' until ctx ends, at most rate of them a second. A
// rate of 0 sends none.
func (b *httpTraffic) flood(ctx context.Context, address string, rate float64) {
	if rate <= 0 {
		return
	}
	conn, err := (&net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 9, 9, 9)}}).Dial("udp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	const batch = 10 * time.Millisecond
	tick := time.NewTicker(batch)
	defer tick.Stop()
	msg := new(dns.Msg).SetQuestion("flood.example.org.", dns.TypeA)
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for range int(rate * batch.Seconds()) {
			msg.Id = uint16(rand.Uint32())
			msg.Question[0].Name = fmt.Sprintf("f%d.a.example.org.", rand.Uint32())
			if raw, err := msg.Pack(); err == nil {
				conn.Write(raw)
				b.floodQueries.Add(1)
			}
		}
	}
}

// plainForwarder is the baseline that the sidecar is compared with: it forwards each query once, to the resolvers in
// turn, and answers SERVFAIL if the resolver does not answer.
type plainForwarder struct {
	addr    string
	servers []*dns.Server
}

func newPlainForwarder(resolvers []*resolver) (*plainForwarder, error) {
	var next atomic.Uint64
	handler := dns.HandlerFunc(func(w dns.ResponseWriter, msg *dns.Msg) {
		network := "udp"
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); tcp {
			network = "tcp"
		}
		resolverAddr := resolvers[next.Add(1)%uint64(len(resolvers))].addr
		reply, _, err := (&dns.Client{Net: network, Timeout: 2 * time.Second}).Exchange(msg, resolverAddr)
		if err != nil {
			reply = new(dns.Msg).SetRcode(msg, dns.RcodeServerFailure)
		}
		reply.Id = msg.Id
		w.WriteMsg(reply)
	})
	udp, tcp, err := listenUDPAndTCP()
	if err != nil {
		return nil, err
	}
	forwarder := &plainForwarder{addr: udp.LocalAddr().String(),
		servers: []*dns.Server{{PacketConn: udp, Handler: handler},
			{Listener: tcp, Handler: handler, MaxTCPQueries: -1}}}
	for _, s := range forwarder.servers {
		go s.ActivateAndServe()
	}
	return forwarder, nil
}

func (p *plainForwarder) close() {
	for _, s := range p.servers {
		s.Shutdown()
	}
}
