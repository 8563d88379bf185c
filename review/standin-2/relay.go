package main

import (
	"net"
	"time"
)

// relayed returns an address whose connections lead to another address, with a delay each way.
func relayed(to string, delay time.Duration) string {
	ln := listen()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(delay)
				s, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					return
				}
				go pass(c, s, delay)
				pass(s, c, delay)
			}()
		}
	}()
	return ln.Addr().String()
}

// pass copies from one connection to another, each piece a delay after it came.
func pass(from, to net.Conn, delay time.Duration) {
	type piece struct {
		at   time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.data); err != nil {
			from.Close()
		}
	}
	to.Close()
}
