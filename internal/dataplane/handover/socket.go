package handover

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Socket is where clients connect. It can be listened on more than once: a process that has stopped accepting
// may have to begin again.
type Socket interface {
	Listen() (net.Listener, error)
}

// PacketSocket is where datagrams of clients come. What one process does not read of a shared one the other does.
type PacketSocket interface {
	ListenPacket() (*net.UDPConn, error)
}

// ExclusiveAddress is an address that this process alone listens on.
type ExclusiveAddress string

// Listen binds the address.
func (a ExclusiveAddress) Listen() (net.Listener, error) { return net.Listen("tcp", string(a)) }

// ListenPacket binds the address for datagrams.
func (a ExclusiveAddress) ListenPacket() (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", string(a))
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", at)
}

// InheritPacket takes the socket for datagrams at the descriptor named by text, which stays open as with Inherit.
func InheritPacket(text string) (*Inherited, error) {
	s, err := inherit(text)
	if err != nil {
		return nil, err
	}
	conn, err := s.ListenPacket()
	if err != nil {
		return nil, err
	}
	return s, conn.Close()
}

// ListenPacket returns a socket on a copy of the descriptor.
func (s *Inherited) ListenPacket() (*net.UDPConn, error) {
	conn, err := net.FilePacketConn(s.file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		conn.Close()
		return nil, fmt.Errorf("inherited descriptor: it is no UDP socket")
	}
	return udp, nil
}

// Inherited is a listening socket that the platform holds and every process inherits.
type Inherited struct{ file *os.File }

// Inherit takes the socket at the descriptor named by text. The descriptor stays open: each Listen works on a
// copy, and closing the copy leaves the socket alone.
func Inherit(text string) (*Inherited, error) {
	s, err := inherit(text)
	if err != nil {
		return nil, err
	}
	ln, err := s.Listen()
	if err != nil {
		return nil, err
	}
	return s, ln.Close()
}

func inherit(text string) (*Inherited, error) {
	fd, err := strconv.ParseUint(text, 10, 31)
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
