package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"path/filepath"
	"strings"
)

// Pair is a replica's certificate and key, and the authorities that it trusts. They are read again for each connection.
// It is safe for concurrent use.
type Pair struct{ dir, name string }

// Open returns the pair of a replica. It returns an error if the files do not exist or are not private.
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

// Server returns the configuration of the listening side. It requires a certificate that the cluster's authority
// signed.
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

// Client returns the configuration of the dialing side, which requires the certificate of the replica of a name.
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

// PeerNames returns the names of the peer's certificate, joined by commas, or "" if it has shown none.
func PeerNames(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return strings.Join(s.PeerCertificates[0].DNSNames, ",")
}
