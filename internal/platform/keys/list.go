package keys

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Certificate describes a certificate in a folder of keys.
type Certificate struct {
	File      string    `json:"file"`
	Name      string    `json:"name"`
	CA        bool      `json:"ca"`
	Serial    string    `json:"serial"` // hexadecimal
	NotBefore time.Time `json:"begins"`
	NotAfter  time.Time `json:"ends"`
	Trusted   bool      `json:"trusted"`          // whether it is valid now by the authorities of the folder
	Reason    string    `json:"reason,omitempty"` // why it is not trusted
}

// List returns the certificates in all certificate files of a folder, authorities included.
func List(dir string) ([]Certificate, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+certSuffix))
	if err != nil {
		return nil, err
	}
	authorities, err := loadAuthorities(dir)
	if err != nil {
		return nil, err
	}
	var certs []Certificate
	for _, file := range files {
		fileCerts, err := describeFile(file, authorities)
		if err != nil {
			return nil, err
		}
		certs = append(certs, fileCerts...)
	}
	return certs, nil
}

func describeFile(file string, authorities *x509.CertPool) ([]Certificate, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var certs []Certificate
	for block, rest := pem.Decode(content); block != nil; block, rest = pem.Decode(rest) {
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		certs = append(certs, describe(file, cert, authorities))
	}
	return certs, nil
}

func describe(file string, cert *x509.Certificate, authorities *x509.CertPool) Certificate {
	c := Certificate{
		File:      file,
		Name:      cert.Subject.CommonName,
		CA:        cert.IsCA,
		Serial:    cert.SerialNumber.Text(16),
		NotBefore: cert.NotBefore,
		NotAfter:  cert.NotAfter,
		Trusted:   true,
	}
	options := x509.VerifyOptions{Roots: authorities, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := cert.Verify(options); err != nil {
		c.Trusted = false
		c.Reason = err.Error()
	}
	return c
}
