package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
)

// Socket is the address at which clients connect. Listen may be called several times, because a process that has
// stopped accepting must start again if its successor ends.
type Socket interface {
	Listen() (net.Listener, error)
}

// PacketSocket is the address to which clients send datagrams. Each datagram is read by one of the processes that share
// the socket.
type PacketSocket interface {
	ListenPacket() (*net.UDPConn, error)
}

// ExclusiveAddress is an address such as 127.0.0.1:80 that only this process listens on. It is a Socket and a
// PacketSocket.
type ExclusiveAddress string

// Listen binds the TCP address.
func (a ExclusiveAddress) Listen() (net.Listener, error) { return net.Listen("tcp", string(a)) }

// ListenPacket binds the UDP address.
func (a ExclusiveAddress) ListenPacket() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp", string(a))
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", address)
}

// Inherited is a socket that the platform keeps open and that every process of the sidecar inherits. It is a Socket or
// a PacketSocket. Each listener uses a duplicate of the descriptor, so closing a listener does not close the socket.
type Inherited struct{ file *os.File }

// Inherit returns the inherited TCP socket at the descriptor with the given decimal number. It returns an error if no
// listener can be made on that descriptor.
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

// InheritPacket returns the inherited UDP socket at the descriptor with the given decimal number. It returns an error
// if that is not a UDP socket.
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

// Listen returns a listener on a duplicate of the descriptor.
func (s *Inherited) Listen() (net.Listener, error) {
	ln, err := net.FileListener(s.file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return ln, nil
	}
	inherited, err := newInheritedListener(tcp)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("inherited descriptor: %w", err), ln.Close())
	}
	return inherited, nil
}

// ListenPacket returns a connection on a duplicate of the descriptor.
func (s *Inherited) ListenPacket() (*net.UDPConn, error) {
	conn, err := net.FilePacketConn(s.file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.New("inherited descriptor: not a UDP socket")
	}
	return udp, nil
}
