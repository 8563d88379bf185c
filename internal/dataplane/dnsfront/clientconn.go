package dnsfront

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	clientReadTimeout  = 2 * time.Second // for the rest of a message after its first byte
	clientWriteTimeout = 2 * time.Second
	acceptBackoff      = 5 * time.Millisecond   // delay after a failure to accept a connection
	closingIdleTimeout = 100 * time.Millisecond // idle timeout while the server is closing

	// clientSendBuffer limits the bytes of unread answers that the kernel holds for a client. Its default is megabytes.
	clientSendBuffer = 128 << 10
	clientReadBuffer = 2048 // bytes
)

// clientConn is a TCP connection of a client.
type clientConn struct {
	net.Conn
	clientAddr netip.AddrPort
	querySlots chan struct{} // holds a value for each query that is open or being received
	writeMu    sync.Mutex    // serializes writes

	// Guarded by Server.mu.
	openQueries map[*openQuery]struct{}
	idleSince   time.Time     // since when there has been no open query; valid while there is none
	idleElement *list.Element // position in clientConns.idle; nil while there are open queries, and once closed
	closed      bool
}

// serveTCP accepts connections until listener is closed. If accepting fails, it closes the longest idle connection and
// tries again: the process may have run out of file descriptors.
func (s *Server) serveTCP(listener net.Listener) {
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			s.addConn(netConn)
		case endsReading(err):
			return
		default:
			s.log.Warn("dns: accepting a connection failed; closing the longest idle connection", "error", err)
			s.mu.Lock()
			s.conns.evict()
			s.mu.Unlock()
			time.Sleep(acceptBackoff)
		}
	}
}

// addConn starts serving a new connection. It closes the connection if there are too many and none is idle.
func (s *Server) addConn(netConn net.Conn) {
	clientAddr, err := netip.ParseAddrPort(netConn.RemoteAddr().String())
	if err != nil {
		netConn.Close()
		return
	}
	if tcpConn, ok := netConn.(*net.TCPConn); ok {
		_ = tcpConn.SetWriteBuffer(clientSendBuffer) // a failure only costs memory
	}
	conn := &clientConn{
		Conn:        netConn,
		clientAddr:  clientAddr,
		querySlots:  make(chan struct{}, s.settings.MaxQueriesPerConn),
		openQueries: map[*openQuery]struct{}{},
	}
	s.mu.Lock()
	added := s.conns.add(conn)
	s.mu.Unlock()
	if !added {
		netConn.Close()
		return
	}
	s.inFlight.Go(func() { s.serveConn(conn) })
}

// serveConn receives queries on a connection until it ends, without waiting for the answers to earlier ones. At the
// limit of open queries it stops reading until one of them is answered.
func (s *Server) serveConn(conn *clientConn) {
	reader := bufio.NewReaderSize(conn, clientReadBuffer)
	for {
		raw, err := s.readQuery(conn, reader)
		if err != nil {
			break
		}
		conn.querySlots <- struct{}{}
		s.receive(raw, conn.clientAddr, conn)
		s.freeUnusedSlot(conn)
	}
	for _, open := range s.removeConn(conn) {
		s.clientDisconnected(open)
	}
}

// readQuery reads the next message on a connection. It fails once the connection has been idle for the idle timeout.
func (s *Server) readQuery(conn *clientConn, reader *bufio.Reader) ([]byte, error) {
	for {
		// Setting the deadline fails only on a closed connection, where the read fails as well.
		_ = conn.SetReadDeadline(time.Now().Add(s.idleTimeout()))
		_, err := reader.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !s.hasOpenQueries(conn) {
			return nil, err
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientReadTimeout))
	return readFrame(reader, nil)
}

// freeUnusedSlot frees the slot of the message that was just received, unless it became an open query: it may have been
// rejected or discarded, or repeat an open query.
func (s *Server) freeUnusedSlot(conn *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(conn.openQueries) < len(conn.querySlots) {
		<-conn.querySlots
	}
}

// removeConn closes a connection and returns its open queries.
func (s *Server) removeConn(conn *clientConn) []*openQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.remove(conn)
	openQueries := make([]*openQuery, 0, len(conn.openQueries))
	for open := range conn.openQueries {
		openQueries = append(openQueries, open)
	}
	return openQueries
}

// idleTimeout returns how long a connection stays open without an open query.
func (s *Server) idleTimeout() time.Duration {
	if s.closing.Load() {
		return closingIdleTimeout
	}
	return s.settings.IdleTimeout
}

func (s *Server) hasOpenQueries(conn *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(conn.openQueries) > 0
}

// send writes an encoded message, preceded by its length. If that fails or takes longer than clientWriteTimeout, it
// closes the connection.
func (c *clientConn) send(raw []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if err == nil {
		_, err = c.Write(appendFrame(make([]byte, 0, len(raw)+frameHeaderSize), raw))
	}
	if err != nil {
		c.Close()
	}
	return err
}
