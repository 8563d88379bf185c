package dnsfront

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/miekg/dns"

	"birchmoor/internal/testutil/sidecartest"
)

// heapBytes returns the memory that is in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// floodQuery returns a message with its length: a query for a new name, one of no class, or no message at all.
func floodQuery(number int) []byte {
	names := []string{"n%d.look.test.", "n%d.same.test.", "n%d.nowhere.test."}
	query := new(dns.Msg).SetQuestion(fmt.Sprintf(names[number%3], number), dns.TypeA)
	query.Id = uint16(number)
	raw, _ := query.Pack() // its names are valid
	if number%4 == 3 {
		raw = raw[:len(raw)/2]
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)
}

// A client that sends small queries for new names and unsound messages on one connection at full speed must neither keep
// another client from its answers nor make memory grow.
func TestFloodOfNewNamesDelaysNoOtherClient(t *testing.T) {
	const floodMessages, otherQueries = 40_000, 200
	const maxGrowth = 100 * floodMessages // bytes; a record of each name would take more
	sidecar := startDefaultSidecar(t, startServer(t, nil), startServer(t, nil))
	before := heapBytes()
	flooded := make(chan int, 1)
	go func() {
		sent := 0
		for sent < floodMessages { // the sidecar may close the connection after an unsound message
			conn, err := net.Dial("tcp", sidecar.addr)
			if err != nil {
				break
			}
			read := make(chan struct{})
			go func() {
				defer close(read)
				_, _ = io.Copy(io.Discard, conn) // ends with the connection
			}()
			for sent < floodMessages {
				sent++
				if _, err := conn.Write(floodQuery(sent)); err != nil {
					break
				}
			}
			_ = conn.Close()
			<-read
		}
		flooded <- sent
	}()
	other := dns.Client{Timeout: sidecartest.WaitTimeout}
	duringFlood := 0
	for number := range otherQueries {
		query := new(dns.Msg).SetQuestion(fmt.Sprintf("other%d.look.test.", number), dns.TypeA)
		if _, _, err := other.Exchange(query, sidecar.addr); err != nil {
			t.Fatalf("query %d of the other client: %v", number, err)
		}
		if len(flooded) == 0 {
			duringFlood++
		}
	}
	if sent := sidecartest.Receive(t, flooded, "end of the flood"); sent < floodMessages {
		t.Errorf("only %d messages were sent", sent)
	}
	if growth := heapBytes() - before; growth > maxGrowth {
		t.Errorf("%d bytes more are in use after the flood, want at most %d", growth, maxGrowth)
	}
	if duringFlood == 0 {
		t.Error("no query of the other client was answered during the flood")
	}
}
