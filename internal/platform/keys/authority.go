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
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	backdate          = time.Hour // how far validity begins in the past, for hosts whose clocks are behind
	serialNumberBits  = 120
)

// Init creates a folder with a new certificate authority. It returns ErrExists if the folder has one already.
func Init(dir, cluster string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	certFile := filepath.Join(dir, authorityCertFile)
	if _, err := os.Stat(certFile); err == nil {
		return fmt.Errorf("%s %w", certFile, ErrExists)
	}
	cert, key, err := createAuthority(cluster)
	if err != nil {
		return err
	}
	return errors.Join(replaceFile(dir, authorityKeyFile, key), replaceFile(dir, authorityCertFile, cert))
}

// Issue creates a key and a certificate for a replica. Unless replace is set, it returns ErrExists if the replica has a
// certificate already.
func Issue(dir, name string, validity time.Duration, replace bool) error {
	if err := CheckName(name); err != nil {
		return err
	}
	certFile := filepath.Join(dir, name+certSuffix)
	if _, err := os.Stat(certFile); err == nil && !replace {
		return fmt.Errorf("%s %w", certFile, ErrExists)
	}
	authorityKey := filepath.Join(dir, authorityKeyFile)
	if err := checkPrivate(authorityKey); err != nil {
		return err
	}
	authority, err := tls.LoadX509KeyPair(filepath.Join(dir, authorityCertFile), authorityKey)
	if err != nil {
		return fmt.Errorf("the authority in %s: %w", dir, err)
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, key, err := createCertificate(template, validity, authority.Leaf, authority.PrivateKey)
	if err != nil {
		return err
	}
	// The key file also has the certificate, so that a reader never gets a key and the certificate of another key.
	keyAndCert := slices.Concat(key, cert)
	return errors.Join(replaceFile(dir, name+keySuffix, keyAndCert), replaceFile(dir, name+certSuffix, cert))
}

// Rotate creates a new authority, which signs all certificates from now on. Earlier authorities are trusted until
// Retire.
func Rotate(dir, cluster string) error {
	previous, err := os.ReadFile(filepath.Join(dir, authorityCertFile))
	if err != nil {
		return err
	}
	cert, key, err := createAuthority(cluster)
	if err != nil {
		return err
	}
	certs := slices.Concat(cert, previous)
	return errors.Join(replaceFile(dir, authorityKeyFile, key), replaceFile(dir, authorityCertFile, certs))
}

// Retire removes all authorities but the newest from the trusted ones.
func Retire(dir string) error {
	certFile := filepath.Join(dir, authorityCertFile)
	certs, err := os.ReadFile(certFile)
	if err != nil {
		return err
	}
	newest, _ := pem.Decode(certs)
	if newest == nil {
		return errNoCertificate(certFile)
	}
	return replaceFile(dir, authorityCertFile, pem.EncodeToMemory(newest))
}

func errNoCertificate(file string) error { return fmt.Errorf("%s holds no certificate", file) }

func createAuthority(cluster string) (cert, key []byte, err error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "birchmoor store " + cluster},
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	return createCertificate(template, authorityValidity, nil, nil)
}

// createCertificate creates a key and a certificate for it, both in PEM. The authority signs the certificate; if it is
// nil, the certificate is self-signed.
func createCertificate(
	template *x509.Certificate, validity time.Duration, authority *x509.Certificate, authorityKey any,
) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	maxSerialNumber := new(big.Int).Lsh(big.NewInt(1), serialNumberBits)
	template.SerialNumber, err = rand.Int(rand.Reader, maxSerialNumber)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template.NotBefore = now.Add(-backdate)
	template.NotAfter = now.Add(validity)
	if authority == nil {
		authority = template
		authorityKey = privateKey
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, authority, &privateKey.PublicKey, authorityKey)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certDER})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return cert, key, nil
}
