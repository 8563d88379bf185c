// Package keys creates and reads the keys by which the replicas of a store authenticate each other: a certificate
// authority of the cluster's own, and a certificate for each replica with its name (RFC 5280; ECDSA on P-256). A folder
// holds ca.pem, ca.key, which belongs on the operators' machine alone, and NAME.pem and NAME.key for each replica.
//
// Files are replaced atomically and read again for each connection, so that keys are replaced without a restart. ca.pem
// may hold several authorities: while one replaces the other, both are trusted. The package imports nothing of this
// module.
package keys

import (
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
)

// Names of files.
const (
	certSuffix        = ".pem"
	keySuffix         = ".key"
	authorityName     = "ca"
	authorityCertFile = authorityName + certSuffix
	authorityKeyFile  = authorityName + keySuffix
)

// ErrExists says that a file would be overwritten.
var ErrExists = errors.New("is there already")

// replicaName is a DNS label (RFC 1123).
var replicaName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName returns an error if a text cannot be the name of a replica.
func CheckName(name string) error {
	if !replicaName.MatchString(name) || name == authorityName {
		return fmt.Errorf("%q is not a replica's name: small letters, digits and inner hyphens, at most 63", name)
	}
	return nil
}

// replaceFile replaces a file by one that only its owner may read.
func replaceFile(dir, name string, content []byte) error {
	f, err := os.CreateTemp(dir, "."+name+"-*") // with mode 0600
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// checkPrivate returns an error if others than the owner may read or write a file.
func checkPrivate(path string) error {
	const othersMode = 0o077
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	mode := info.Mode().Perm()
	if mode&othersMode != 0 {
		err := fmt.Errorf("others may read or write it (mode %04o): it must be 0600", mode)
		return &fs.PathError{Op: "use", Path: path, Err: err}
	}
	return nil
}

// loadAuthorities reads the authorities that are trusted.
func loadAuthorities(dir string) (*x509.CertPool, error) {
	file := filepath.Join(dir, authorityCertFile)
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content) {
		return nil, errNoCertificate(file)
	}
	return authorities, nil
}
