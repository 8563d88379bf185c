// Package address gives out addresses on loopback that nobody listens at, for processes that are to be told where to listen, and to
// listen there again after a kill.
package address

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// next is the port that is looked at next. None is looked at twice: to try one that was given would take it for a moment from who has it.
var next atomic.Int32

const (
	first = 10_000
	most  = 55_000
)

// own is an address of this process's alone among all of 127.0.0.0/8, so that no other process takes a port of it meanwhile, be it of a
// test that runs beside this one. It is not 127.0.0.1, whose ports all connections on loopback come from.
func own() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// Free is an address that nobody listens at, nor was told of by this process. Any goroutine may call it.
func Free() (string, error) {
	for {
		n := next.Add(1)
		if n > most {
			return "", fmt.Errorf("%d addresses were given out: there are no more", most)
		}
		addr := fmt.Sprintf("%s:%d", own(), first+n)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // somebody has it
		}
		return addr, ln.Close()
	}
}
