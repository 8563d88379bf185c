package usage

import "net"

// WrapConn counts an opened connection, and returns a wrapper that counts the bytes read and written. conn must be the
// connection below TLS. If the recorder is nil, WrapConn returns conn.
func (r *Recorder) WrapConn(conn net.Conn) net.Conn {
	if r == nil {
		return conn
	}
	r.connections.Add(1)
	return &countedConn{conn, r}
}

// WrapListener returns a wrapper that calls WrapConn for each accepted connection. The listener must be the one below
// TLS. If the recorder is nil, WrapListener returns listener.
func (r *Recorder) WrapListener(listener net.Listener) net.Listener {
	if r == nil {
		return listener
	}
	return &countedListener{listener, r}
}

type countedConn struct {
	net.Conn
	recorder *Recorder
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.connBytes[In].Add(uint64(max(0, n)))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.recorder.connBytes[Out].Add(uint64(max(0, n)))
	return n, err
}

// CloseWrite closes the sending direction, if the wrapped connection supports it. net/http's server calls this method
// before it closes a connection, so that the client can still read the last answer.
func (c *countedConn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

type countedListener struct {
	net.Listener
	recorder *Recorder
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.recorder.WrapConn(conn), nil
}
