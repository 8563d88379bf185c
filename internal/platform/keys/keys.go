// Package keys creates and loads the keys with which the replicas of a store authenticate each other: a certificate
// authority of the cluster, and a certificate with the replica's name for each replica (RFC 5280; ECDSA on P-256). A
// folder has ca.pem, ca.key, which must be on the operators' machine only, and NAME.pem and NAME.key for each replica.
//
// Files are replaced atomically and loaded again for each connection, so that keys can be replaced without a restart.
// ca.pem may have several authorities: during a rotation, both the old and the new one are trusted. The package imports
// nothing of this module.
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

// File names in a folder of keys.
const (
	certSuffix        = ".pem"
	keySuffix         = ".key"
	authorityName     = "ca"
	authorityCertFile = authorityName + certSuffix
	authorityKeyFile  = authorityName + keySuffix
)

// ErrExists is the error for a file that must not be overwritten.
var ErrExists = errors.New("is there already")

// replicaName matches a DNS label (RFC 1123).
var replicaName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName returns an error if name is not valid for a replica: it must be a DNS label in lower case, and not "ca".
func CheckName(name string) error {
	if !replicaName.MatchString(name) || name == authorityName {
		return fmt.Errorf("%q is not a valid replica name: lower-case letters, digits and inner hyphens, at most 63",
			name)
	}
	return nil
}

// replaceFile atomically creates or replaces a file that only its owner can read.
func replaceFile(dir, name string, content []byte) error {
	f, err := os.CreateTemp(dir, "."+name+"-*") // creates it with mode 0600
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

// checkPrivate returns an error if anyone but the owner may access a file.
func checkPrivate(path string) error {
	const othersMode = 0o077
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	mode := info.Mode().Perm()
	if mode&othersMode != 0 {
		err := fmt.Errorf("users other than the owner may access it (mode %04o); the mode must be 0600", mode)
		return &fs.PathError{Op: "use", Path: path, Err: err}
	}
	return nil
}

// loadAuthorities loads the trusted authorities of a folder.
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
