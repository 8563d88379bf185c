// Package keys makes and reads the keys by which the replicas of a store know each other: a certificate authority of
// the cluster's own, and a certificate for each replica with its name (RFC 5280; ECDSA on P-256). A folder holds
// ca.pem, ca.key, which belongs on the operators' machine alone, and NAME.pem and NAME.key for each replica.
//
// Files are replaced atomically and read anew for each connection, so that keys are replaced without a restart. ca.pem
// may hold several authorities: while one follows the other, both are trusted.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	backdate          = time.Hour // for clocks that are behind
)

// ErrExists says that keys would be written over.
var ErrExists = errors.New("is there already")

var nameRule = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName says what is wrong with the name of a replica, which must do as a DNS label (RFC 1123).
func CheckName(name string) error {
	if !nameRule.MatchString(name) || name == "ca" {
		return fmt.Errorf("%q is not a replica's name: small letters, digits and inner hyphens, at most 63", name)
	}
	return nil
}

// Init makes a folder with a new authority.
func Init(dir, cluster string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, "ca.pem")); err == nil {
		return fmt.Errorf("%s %w", filepath.Join(dir, "ca.pem"), ErrExists)
	}
	cert, key, err := createAuthority(cluster)
	if err != nil {
		return err
	}
	return errors.Join(replaceFile(dir, "ca.key", key), replaceFile(dir, "ca.pem", cert))
}

func createAuthority(cluster string) (cert, key []byte, err error) {
	return createCertificate(&x509.Certificate{Subject: pkix.Name{CommonName: "birchmoor store " + cluster}, IsCA: true,
		BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}, authorityValidity, nil, nil)
}

// createCertificate makes a key and a certificate for it, signed by an authority or, without one, by itself.
func createCertificate(t *x509.Certificate, life time.Duration, ca *x509.Certificate, caKey any) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if t.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return nil, nil, err
	}
	now := time.Now()
	t.NotBefore, t.NotAfter = now.Add(-backdate), now.Add(life)
	if ca == nil {
		ca, caKey = t, k
	}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, &k.PublicKey, caKey)
	if err != nil {
		return nil, nil, err
	}
	kb, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kb}), nil
}

// replaceFile replaces a file of the owner's alone.
func replaceFile(dir, name string, b []byte) error {
	f, err := os.CreateTemp(dir, "."+name+"-*") // of mode 0600
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// Issue makes a certificate for a replica. One that is there is replaced if asked for.
func Issue(dir, name string, life time.Duration, replace bool) error {
	if err := CheckName(name); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, name+".pem")); err == nil && !replace {
		return fmt.Errorf("%s %w", filepath.Join(dir, name+".pem"), ErrExists)
	}
	if err := checkPrivate(filepath.Join(dir, "ca.key")); err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	if err != nil {
		return fmt.Errorf("the authority in %s: %w", dir, err)
	}
	cert, key, err := createCertificate(&x509.Certificate{Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}},
		life, pair.Leaf, pair.PrivateKey)
	if err != nil {
		return err
	}
	// Both in one file as well as each: a reader never sees a key of one and a certificate of another.
	return errors.Join(replaceFile(dir, name+".key", slices.Concat(key, cert)), replaceFile(dir, name+".pem", cert))
}

// Rotate makes a new authority, which signs from now on; the ones before stay trusted until Retire.
func Rotate(dir, cluster string) error {
	old, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return err
	}
	cert, key, err := createAuthority(cluster)
	if err != nil {
		return err
	}
	return errors.Join(replaceFile(dir, "ca.key", key), replaceFile(dir, "ca.pem", slices.Concat(cert, old)))
}

// Retire ends the trust in all authorities but the newest.
func Retire(dir string) error {
	b, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return err
	}
	first, _ := pem.Decode(b)
	if first == nil {
		return fmt.Errorf("%s holds no certificate", filepath.Join(dir, "ca.pem"))
	}
	return replaceFile(dir, "ca.pem", pem.EncodeToMemory(first))
}

// Certificate tells of a certificate.
type Certificate struct {
	File      string    `json:"file"`
	Name      string    `json:"name"`
	CA        bool      `json:"ca"`
	Serial    string    `json:"serial"`
	NotBefore time.Time `json:"begins"`
	NotAfter  time.Time `json:"ends"`
	Trusted   bool      `json:"trusted"` // by the authorities of the folder, now
	Reason    string    `json:"reason,omitempty"`
}

// List lists the certificates of a folder.
func List(dir string) ([]Certificate, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, err
	}
	pool, err := loadAuthorities(dir)
	if err != nil {
		return nil, err
	}
	var all []Certificate
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for block, rest := pem.Decode(b); block != nil; block, rest = pem.Decode(rest) {
			c, err := x509.ParseCertificate(block.Bytes)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			i := Certificate{File: f, Name: c.Subject.CommonName, CA: c.IsCA, Serial: c.SerialNumber.Text(16), NotBefore: c.NotBefore, NotAfter: c.NotAfter}
			_, err = c.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			if i.Trusted = err == nil; err != nil {
				i.Reason = err.Error()
			}
			all = append(all, i)
		}
	}
	return all, nil
}

func loadAuthorities(dir string) (*x509.CertPool, error) {
	b, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s holds no certificate", filepath.Join(dir, "ca.pem"))
	}
	return p, nil
}

// checkPrivate says whether a file is its owner's alone.
func checkPrivate(path string) error {
	i, err := os.Stat(path)
	if err != nil {
		return err
	}
	if i.Mode().Perm()&0o077 != 0 {
		return &fs.PathError{Op: "use", Path: path, Err: fmt.Errorf("others may read or write it (mode %04o): it must be 0600", i.Mode().Perm())}
	}
	return nil
}

// Pair is what a replica shows and whom it trusts, read anew for each connection.
type Pair struct{ dir, name string }

// Open checks that a replica's files are there and its own.
func Open(dir, name string) (*Pair, error) {
	p := &Pair{dir, name}
	if err := CheckName(name); err != nil {
		return nil, err
	}
	_, _, err := p.read()
	return p, err
}

func (p *Pair) read() (*tls.Certificate, *x509.CertPool, error) {
	file := filepath.Join(p.dir, p.name+".key")
	if err := checkPrivate(file); err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	c, err := tls.LoadX509KeyPair(file, file)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %s: %w", file, err)
	}
	pool, err := loadAuthorities(p.dir)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	return &c, pool, nil
}

// Server is the side that listens: it asks for a certificate that the cluster's authority signed.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c, pool, err := p.read()
		if err != nil {
			return nil, err
		}
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*c}, ClientAuth: tls.RequireAndVerifyClientCert,
			ClientCAs: pool, SessionTicketsDisabled: true}, nil
	}}
}

// Client is the side that dials the replica of a name.
func (p *Pair) Client(name string) (*tls.Config, error) {
	c, pool, err := p.read()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*c}, RootCAs: pool, ServerName: name}, nil
}

// PeerNames are those that the other side's certificate is for.
func PeerNames(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return strings.Join(s.PeerCertificates[0].DNSNames, ",")
}
