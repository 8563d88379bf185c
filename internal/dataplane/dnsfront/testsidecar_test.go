package dnsfront

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/dataplane/sidecar"
	"birchmoor/internal/testutil/sidecartest"
)

func testSettings() Settings {
	class := func(name string, share bool, ops ...int) Class {
		return Class{
			Name:               name,
			LatencyObjective:   500 * time.Millisecond,
			Timeout:            1500 * time.Millisecond,
			PriorityWeight:     1,
			LatePriorityWeight: 0.5,
			MaxAttempts:        3,
			ShareAnswers:       share,
			Route:              route.Class{Suffixes: []string{name + ".test"}, Opcodes: ops},
		}
	}
	return Settings{
		MaxSockets:        64,
		MaxConnsPerServer: 2,
		MaxClientConns:    8,
		MaxQueriesPerConn: 32,
		IdleTimeout:       2 * time.Second,
		Limit: limit.Settings{
			MaxOpen:          1000,
			MaxOpenPerPrefix: 1000,
			UnverifiedShare:  1,
			AnswersPerSecond: 1e6,
			Burst:            1e6,
			TruncateEvery:    2,
			MaxPrefixes:      100,
		},
		Classes: []Class{class("look", false), class("same", true), class("change", false, dns.OpcodeUpdate)},
	}
}

// retainedSockets are sockets that outlive the process that listens on them, as the platform's do.
type retainedSockets struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

func (h retainedSockets) ListenPacket() (*net.UDPConn, error) {
	f, err := h.udp.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

func (h retainedSockets) Listen() (net.Listener, error) {
	f, err := h.tcp.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

type fixedListener struct{ net.Listener }

func (o fixedListener) Listen() (net.Listener, error) { return o.Listener, nil }

// testSidecar is a running sidecar with the front.
type testSidecar struct {
	addr       string
	front      *Front
	management net.Listener
	stop       context.CancelFunc
	ended      chan error
}

// call makes a management call.
func (r *testSidecar) call(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.management.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// startSidecar starts a sidecar over servers at addrs, and waits until it answers. With a directory it offers its
// sockets to a handover there.
func startSidecar(t *testing.T, s Settings, h retainedSockets, dir string, addrs ...string) *testSidecar {
	t.Helper()
	var known []discovery.Instance
	for i, a := range addrs {
		in := sidecartest.ReadyInstance(fmt.Sprintf("d-%d", i), a)
		in.Protocol, in.StartedMs = Protocol, 1
		known = append(known, in)
	}
	web := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	known = append(known, sidecartest.ReadyInstance("web", web))
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), known)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testSidecar{
		addr:  h.udp.LocalAddr().String(),
		ended: make(chan error, 1),
		front: &Front{Settings: s, Sockets: Sockets{UDP: h, TCP: h}},
	}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	if r.management, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	host := sidecar.Host{
		Socket:     fixedListener{ln},
		Management: r.management,
		Overrides:  maintenance.Discard{},
		Protocols:  []core.Protocol{r.front},
		Reload:     make(chan os.Signal),
		ReadConfig: func() (*config.Config, error) { return c, nil },
		Log:        sidecartest.DiscardLog,
	}
	if dir != "" {
		host.HandoverPath = filepath.Join(dir, "sock")
	}
	go func() {
		r.ended <- sidecar.Run(ctx, c, host)
		close(r.ended)
	}()
	t.Cleanup(func() {
		r.stop()
		if err := <-r.ended; err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	})
	deadline := time.Now().Add(sidecartest.WaitTimeout)
	for {
		m, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), r.addr)
		if err == nil && m.Rcode == dns.RcodeSuccess || len(addrs) == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the front does not answer: %v %v", m, err)
		}
	}
	for dir != "" && r.call(t, "status") != "YES\n" { // from then on the next process finds it
		if time.Now().After(deadline) {
			t.Fatal("the front does not come to serve")
		}
	}
	return r
}

// setReadTimeout has the next read fail after a duration.
func setReadTimeout(t *testing.T, c net.Conn, timeout time.Duration) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// startSidecarWith starts a sidecar over servers at addrs, at a free address.
func startSidecarWith(t *testing.T, addrs ...string) *testSidecar {
	t.Helper()
	udp, tcp := listenUDPAndTCP(t)
	return startSidecar(t, testSettings(), retainedSockets{udp, tcp}, "", addrs...)
}
