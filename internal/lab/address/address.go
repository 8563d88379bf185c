// Package address gives out addresses on loopback that nobody listens at, for processes that are to be told where to listen, and to
// listen there again after a kill.
package address

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// given are addresses that were handed out: the system may offer one again before who has it listens there.
var given sync.Map

// own is an address of this process's alone among all of 127.0.0.0/8, so that no other process takes a port of it meanwhile, be it of a
// test that runs beside this one. It is not 127.0.0.1, whose ports all connections on loopback come from.
func own() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// Free is an address that nobody listens at, nor was told of by this process. Any goroutine may call it.
func Free() (string, error) {
	for range 1000 {
		ln, err := net.Listen("tcp", own()+":0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", err
		}
		if _, before := given.LoadOrStore(addr, true); !before {
			return addr, nil
		}
	}
	return "", errors.New("no port on " + own() + " is free")
}
