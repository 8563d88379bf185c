package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync/atomic"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/dataplane/sidecar"
)

// Memory is what a party has allocated since its start.
type Memory struct {
	Mallocs uint64 `json:"mallocs"` // number of allocations
	Bytes   uint64 `json:"bytes"`
}

// Peer runs one party of the benchmark in this process: "servers", "reverse-proxy" or "sidecar". It listens on loopback
// and prints its addresses on a line. Then it executes the commands on in, one a line, until in ends: "memory" prints a
// Memory as JSON, "profile FILE" starts a CPU profile, and "profiled" ends the profile and prints "done".
func Peer(ctx context.Context, role, config string, in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	var err error
	switch role {
	case "servers":
		addrs, err = startServers(config)
	case "reverse-proxy":
		addrs, err = startReverseProxy(config)
	case "sidecar":
		addrs, err = startSidecar(ctx, config)
	default:
		err = fmt.Errorf("unknown role %q", role)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out, strings.Join(addrs, " "))
	var profile *os.File
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		command, argument, _ := strings.Cut(lines.Text(), " ")
		switch command {
		case "memory":
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			if err := json.NewEncoder(out).Encode(Memory{stats.Mallocs, stats.TotalAlloc}); err != nil {
				return err
			}
		case "profile":
			if profile, err = os.Create(argument); err != nil {
				return err
			}
			if err := pprof.StartCPUProfile(profile); err != nil {
				return err
			}
		case "profiled":
			pprof.StopCPUProfile()
			profile.Close()
			fmt.Fprintln(out, "done")
		}
	}
	return lines.Err()
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

var (
	okResponse         = []byte("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nserved at once.\n")
	loadReportResponse = []byte(
		"HTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\nTEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00")
)

// startServers starts a number of servers, which answer at once and with as little work as possible, and returns their
// addresses.
func startServers(count string) ([]string, error) {
	var number int
	if _, err := fmt.Sscan(count, &number); err != nil || number < 1 || number > 2000 {
		return nil, fmt.Errorf("number of servers %q is not between 1 and 2000", count)
	}
	var addrs []string
	for range number {
		listener, err := listenLoopback()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, listener.Addr().String())
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serveAtOnce(conn)
			}
		}()
	}
	return addrs, nil
}

// serveAtOnce answers each request at the end of its headers. Requests must not have a body.
func serveAtOnce(conn net.Conn) {
	defer conn.Close()
	buf := make([]byte, 4096)
	buffered := 0
	for {
		read, err := conn.Read(buf[buffered:])
		if err != nil || buffered+read == len(buf) {
			return
		}
		buffered += read
		for {
			end := bytes.Index(buf[:buffered], []byte("\r\n\r\n"))
			if end < 0 {
				break
			}
			response := okResponse
			if bytes.HasPrefix(buf[:buffered], []byte("GET /-/load")) {
				response = loadReportResponse
			}
			if _, err := conn.Write(response); err != nil {
				return
			}
			buffered = copy(buf, buf[end+4:buffered])
		}
	}
}

// startReverseProxy starts the standard library's reverse proxy, which sends requests to the targets in turn.
func startReverseProxy(targets string) ([]string, error) {
	var hosts []string
	if err := json.Unmarshal([]byte(targets), &hosts); err != nil {
		return nil, err
	}
	var requests atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: hosts[requests.Add(1)%uint64(len(hosts))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, proxy)
	return []string{listener.Addr().String()}, nil
}

// startSidecar starts the sidecar as the platform's command does, with the configuration at a path.
func startSidecar(ctx context.Context, path string) ([]string, error) {
	read := func() (*config.Config, error) {
		return config.Read(func(name string) string {
			if name == "ROUTER_CONFIG" {
				return path
			}
			return ""
		})
	}
	loaded, err := read()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loaded.Listen)
	if err != nil {
		return nil, err
	}
	go sidecar.Run(ctx, loaded, sidecar.Host{
		Socket:     openListener{listener},
		Overrides:  maintenance.Discard{},
		Reload:     make(chan os.Signal),
		ReadConfig: read,
		Log:        slog.New(slog.DiscardHandler),
	})
	return []string{listener.Addr().String()}, nil
}

// openListener is a handover.Socket that returns a listener which is already open.
type openListener struct{ net.Listener }

var _ handover.Socket = openListener{}

// Listen returns the open listener.
func (g openListener) Listen() (net.Listener, error) { return g.Listener, nil }
