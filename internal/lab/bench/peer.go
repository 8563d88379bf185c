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

// Memory is what a peer has allocated so far.
type Memory struct {
	Mallocs uint64 `json:"mallocs"`
	Bytes   uint64 `json:"bytes"`
}

// Peer runs one party of the benchmark in this process: "servers", "reverse-proxy" or "sidecar". It listens on
// loopback, prints where, and then obeys lines on in until that ends: "memory" prints a Memory, "profile FILE" begins
// a CPU profile and "profiled" ends it.
func Peer(ctx context.Context, role, config string, in io.Reader, out io.Writer) error {
	runtime.GOMAXPROCS(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	var err error
	switch role {
	case "servers":
		addrs, err = servers(config)
	case "reverse-proxy":
		addrs, err = reverseProxy(config)
	case "sidecar":
		addrs, err = runSidecar(ctx, config)
	default:
		err = fmt.Errorf("no such role: %s", role)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out, strings.Join(addrs, " "))
	var profile *os.File
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "memory":
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			if err := json.NewEncoder(out).Encode(Memory{m.Mallocs, m.TotalAlloc}); err != nil {
				return err
			}
		case "profile":
			if profile, err = os.Create(rest); err != nil {
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

func local() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

var (
	served = []byte("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nserved at once.\n")
	loaded = []byte("HTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\nTEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00")
)

// servers runs so many servers that answer at once, with as little work as can be.
func servers(count string) ([]string, error) {
	var n int
	if _, err := fmt.Sscan(count, &n); err != nil || n < 1 || n > 2000 {
		return nil, fmt.Errorf("so many servers cannot be run: %q", count)
	}
	var addrs []string
	for range n {
		ln, err := local()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go instant(c)
			}
		}()
	}
	return addrs, nil
}

// instant answers each request, which has no body, as soon as its head has ended.
func instant(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4096)
	n := 0
	for {
		m, err := c.Read(buf[n:])
		if err != nil || n+m == len(buf) {
			return
		}
		n += m
		for {
			end := bytes.Index(buf[:n], []byte("\r\n\r\n"))
			if end < 0 {
				break
			}
			answer := served
			if bytes.HasPrefix(buf[:n], []byte("GET /-/load")) {
				answer = loaded
			}
			if _, err := c.Write(answer); err != nil {
				return
			}
			n = copy(buf, buf[end+4:n])
		}
	}
}

// reverseProxy runs the standard library's, over the servers in turn.
func reverseProxy(targets string) ([]string, error) {
	var hosts []string
	if err := json.Unmarshal([]byte(targets), &hosts); err != nil {
		return nil, err
	}
	var turn atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: hosts[turn.Add(1)%uint64(len(hosts))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
	ln, err := local()
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, p)
	return []string{ln.Addr().String()}, nil
}

// runSidecar runs ours, as the platform's command does.
func runSidecar(ctx context.Context, path string) ([]string, error) {
	read := func() (*config.Config, error) {
		return config.Read(func(name string) string {
			if name == "ROUTER_CONFIG" {
				return path
			}
			return ""
		})
	}
	c, err := read()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	go sidecar.Run(ctx, c, sidecar.Host{Socket: given{ln}, Overrides: maintenance.Discard{}, Reload: make(chan os.Signal), ReadConfig: read,
		Log: slog.New(slog.DiscardHandler)})
	return []string{ln.Addr().String()}, nil
}

// given is a listener that is there already.
type given struct{ net.Listener }

var _ handover.Socket = given{}

// Listen returns it.
func (g given) Listen() (net.Listener, error) { return g.Listener, nil }
