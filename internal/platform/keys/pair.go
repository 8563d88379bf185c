package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"path/filepath"
	"strings"
)

// Pair gives access to the certificate and key of a replica and to the authorities that it trusts. They are loaded
// again for each connection. It is safe for concurrent use.
type Pair struct{ dir, name string }

// Open returns the pair of a replica. It returns an error if the files cannot be loaded or the key is not private.
func Open(dir, name string) (*Pair, error) {
	p := &Pair{dir: dir, name: name}
	if err := CheckName(name); err != nil {
		return nil, err
	}
	_, _, err := p.load()
	return p, err
}

func (p *Pair) load() (*tls.Certificate, *x509.CertPool, error) {
	file := filepath.Join(p.dir, p.name+keySuffix)
	if err := checkPrivate(file); err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	cert, err := tls.LoadX509KeyPair(file, file)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %s: %w", file, err)
	}
	authorities, err := loadAuthorities(p.dir)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	return &cert, authorities, nil
}

// Server returns the TLS configuration for the listening side. It requires that clients have a certificate signed by a
// trusted authority.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return p.serverConfig() },
	}
}

func (p *Pair) serverConfig() (*tls.Config, error) {
	cert, authorities, err := p.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              authorities,
		SessionTicketsDisabled: true, // a resumed session would not verify the certificate again
	}, nil
}

// Client returns the TLS configuration for dialing a replica. It requires that the server has a certificate with the
// given name, signed by a trusted authority. A new configuration must be made for each connection, so that replaced
// keys are used.
func (p *Pair) Client(name string) (*tls.Config, error) {
	cert, authorities, err := p.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      authorities,
		ServerName:   name,
	}, nil
}

// PeerNames returns the DNS names in the peer's certificate, separated by commas, or "" if the peer sent none.
func PeerNames(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return strings.Join(s.PeerCertificates[0].DNSNames, ",")
}
