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

// testSettings returns settings with three classes: look, same, which shares answers, and change, which consists of
// updates. Each class has the names that end in its own name and .test.
func testSettings() Settings {
	class := func(name string, shareAnswers bool, opcodes ...int) Class {
		return Class{
			Name:               name,
			LatencyObjective:   500 * time.Millisecond,
			Timeout:            1500 * time.Millisecond,
			PriorityWeight:     1,
			LatePriorityWeight: 0.5,
			MaxAttempts:        3,
			ShareAnswers:       shareAnswers,
			Route:              route.Class{Suffixes: []string{name + ".test"}, Opcodes: opcodes},
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

// retainedSockets are sockets that outlive the sidecar that listens on them: each sidecar gets a duplicate. They stand
// in for sockets that are inherited from the platform.
type retainedSockets struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

func (h retainedSockets) ListenPacket() (*net.UDPConn, error) {
	file, err := h.udp.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

func (h retainedSockets) Listen() (net.Listener, error) {
	file, err := h.tcp.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return net.FileListener(file)
}

// fixedListener is a socket whose listener is open already.
type fixedListener struct{ net.Listener }

func (o fixedListener) Listen() (net.Listener, error) { return o.Listener, nil }

// testSidecar is a running sidecar with the DNS front.
type testSidecar struct {
	addr       string // where the front receives queries
	front      *Front
	management net.Listener
	stop       context.CancelFunc
	ended      chan error // receives the result of sidecar.Run, and is then closed
}

// command sends a command to the management socket and returns the reply.
func (r *testSidecar) command(t *testing.T, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", r.management.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		t.Fatal(err)
	}
	output, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(output)
}

// startSidecar starts a sidecar with DNS servers at addrs, and waits until it answers queries. The sidecar runs until
// the test ends. Unless handoverDir is empty, the sidecar takes part in handovers by a socket in that directory.
func startSidecar(
	t *testing.T, settings Settings, sockets retainedSockets, handoverDir string, addrs ...string,
) *testSidecar {
	t.Helper()
	var instances []discovery.Instance
	for i, addr := range addrs {
		instance := sidecartest.ReadyInstance(fmt.Sprintf("d-%d", i), addr)
		instance.Protocol, instance.StartedMs = Protocol, 1
		instances = append(instances, instance)
	}
	web := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	instances = append(instances, sidecartest.ReadyInstance("web", web))
	cfg := sidecartest.Configure(t, sidecartest.ClosedAddress(t), instances)
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := &testSidecar{
		addr:  sockets.udp.LocalAddr().String(),
		ended: make(chan error, 1),
		front: &Front{Settings: settings, Sockets: Sockets{UDP: sockets, TCP: sockets}},
	}
	var ctx context.Context
	ctx, started.stop = context.WithCancel(context.Background())
	if started.management, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	host := sidecar.Host{
		Socket:     fixedListener{httpListener},
		Management: started.management,
		Overrides:  maintenance.Discard{},
		Protocols:  []core.Protocol{started.front},
		Reload:     make(chan os.Signal),
		ReadConfig: func() (*config.Config, error) { return cfg, nil },
		Log:        sidecartest.DiscardLog,
	}
	if handoverDir != "" {
		host.HandoverPath = filepath.Join(handoverDir, "sock")
	}
	go func() {
		started.ended <- sidecar.Run(ctx, cfg, host)
		close(started.ended)
	}()
	t.Cleanup(func() {
		started.stop()
		if err := <-started.ended; err != nil {
			t.Errorf("sidecar.Run: %v", err)
		}
	})
	deadline := time.Now().Add(sidecartest.WaitTimeout)
	for {
		response, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), started.addr)
		if err == nil && response.Rcode == dns.RcodeSuccess || len(addrs) == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("query to the front until the deadline: answer %v, error %v; want NOERROR", response, err)
		}
	}
	// Once the status is YES, the next process can take over from this sidecar.
	for handoverDir != "" && started.command(t, "status") != "YES\n" {
		if time.Now().After(deadline) {
			t.Fatal("management command status does not return YES before the deadline")
		}
	}
	return started
}

// setReadTimeout makes reads from a connection fail after timeout.
func setReadTimeout(t *testing.T, c net.Conn, timeout time.Duration) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// startDefaultSidecar starts a sidecar with testSettings and DNS servers at addrs. It receives queries at a free
// address and takes no part in handovers.
func startDefaultSidecar(t *testing.T, addrs ...string) *testSidecar {
	t.Helper()
	udp, tcp := listenUDPAndTCP(t)
	return startSidecar(t, testSettings(), retainedSockets{udp, tcp}, "", addrs...)
}
