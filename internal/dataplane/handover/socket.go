package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
)

// Socket is where clients connect. A process that has stopped accepting may have to begin again, so it can be
// listened on several times.
type Socket interface {
	Listen() (net.Listener, error)
}

// PacketSocket is where clients send datagrams. Each datagram is read by one of the processes that share the socket.
type PacketSocket interface {
	ListenPacket() (*net.UDPConn, error)
}

// ExclusiveAddress is an address that only this process listens on.
type ExclusiveAddress string

// Listen binds the address for connections.
func (a ExclusiveAddress) Listen() (net.Listener, error) { return net.Listen("tcp", string(a)) }

// ListenPacket binds the address for datagrams.
func (a ExclusiveAddress) ListenPacket() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp", string(a))
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", address)
}

// Inherited is a listening socket that the platform holds open and that every process inherits. The descriptor
// stays open: each listener is on a copy of it, and closing the copy leaves the socket alone.
type Inherited struct{ file *os.File }

// Inherit returns the socket for connections at the descriptor with this number.
func Inherit(descriptor string) (*Inherited, error) {
	s, err := openInherited(descriptor)
	if err != nil {
		return nil, err
	}
	ln, err := s.Listen()
	if err != nil {
		return nil, err
	}
	return s, ln.Close()
}

// InheritPacket returns the socket for datagrams at the descriptor with this number.
func InheritPacket(descriptor string) (*Inherited, error) {
	s, err := openInherited(descriptor)
	if err != nil {
		return nil, err
	}
	conn, err := s.ListenPacket()
	if err != nil {
		return nil, err
	}
	return s, conn.Close()
}

func openInherited(descriptor string) (*Inherited, error) {
	fd, err := strconv.ParseUint(descriptor, 10, 31)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	return &Inherited{os.NewFile(uintptr(fd), "listener")}, nil
}

// Listen returns a listener on a copy of the descriptor.
func (s *Inherited) Listen() (net.Listener, error) {
	ln, err := net.FileListener(s.file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	return ln, nil
}

// ListenPacket returns a socket on a copy of the descriptor.
func (s *Inherited) ListenPacket() (*net.UDPConn, error) {
	conn, err := net.FilePacketConn(s.file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.New("inherited descriptor: it is no UDP socket")
	}
	return udp, nil
}
