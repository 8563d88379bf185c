package keys

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// handshake performs a TLS handshake, in which the client expects the server to have the given name. It returns the
// errors of both sides, joined.
func handshake(t *testing.T, server, client *Pair, name string) error {
	t.Helper()
	serverConn, clientConn := net.Pipe()
	t.Cleanup(func() { mustSucceed(t, serverConn.Close(), clientConn.Close()) }) // no effect if they are closed before
	serverErr := make(chan error, 1)
	go func() {
		tlsServer := tls.Server(serverConn, server.Server())
		err := tlsServer.Handshake()
		if err == nil {
			_, err = tlsServer.Write([]byte{1})
		}
		serverErr <- errors.Join(err, serverConn.Close())
	}()
	config, err := client.Client(name)
	if err != nil {
		t.Fatal(err)
	}
	tlsClient := tls.Client(clientConn, config)
	if err = tlsClient.Handshake(); err == nil {
		_, err = tlsClient.Read(make([]byte, 1))
	}
	return errors.Join(err, clientConn.Close(), <-serverErr)
}

func openPair(t *testing.T, dir, name string) *Pair {
	t.Helper()
	p, err := Open(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// mustSucceed fails the test on any error.
func mustSucceed(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func TestHandshakeRequiresNameAuthorityAndValidity(t *testing.T) {
	dir, otherDir := t.TempDir(), t.TempDir()
	mustSucceed(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false),
		Issue(dir, "late", -time.Minute, false), Init(otherDir, "two"), Issue(otherDir, "b", time.Hour, false))
	a, b := openPair(t, dir, "a"), openPair(t, dir, "b")
	mustSucceed(t, handshake(t, a, b, "a"))
	for what, err := range map[string]error{
		"wrong name":        handshake(t, a, b, "c"),
		"foreign authority": handshake(t, a, openPair(t, otherDir, "b"), "a"),
		"expired":           handshake(t, a, openPair(t, dir, "late"), "a"),
	} {
		if err == nil {
			t.Errorf("%s: the handshake succeeded", what)
		}
	}
	if err := Init(dir, "one"); !errors.Is(err, ErrExists) {
		t.Error(err)
	}
	if err := Issue(dir, "a", time.Hour, false); !errors.Is(err, ErrExists) {
		t.Error(err)
	}
}

// Keys and authorities are replaced while both sides keep using the Pair that they opened at the start.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	mustSucceed(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false))
	a, b := openPair(t, dir, "a"), openPair(t, dir, "b")
	mustSucceed(t, handshake(t, a, b, "a"), Rotate(dir, "one"), handshake(t, a, b, "a"))
	// The certificate of a is now signed by the new authority, that of b still by the old one.
	mustSucceed(t, Issue(dir, "a", time.Hour, true), handshake(t, a, b, "a"))
	mustSucceed(t, Retire(dir))
	if err := handshake(t, a, b, "a"); err == nil {
		t.Fatal("a certificate of the retired authority is still trusted")
	}
	mustSucceed(t, Issue(dir, "b", time.Hour, true), handshake(t, a, b, "a"))
	certs, err := List(dir)
	if err != nil || len(certs) != 3 || !certs[0].Trusted || !certs[2].Trusted {
		t.Fatalf("%+v %v", certs, err)
	}
}

func TestOpenRejectsFilesThatOthersMayRead(t *testing.T) {
	dir := t.TempDir()
	mustSucceed(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), os.Chmod(filepath.Join(dir, "a.key"), 0o644))
	if _, err := Open(dir, "a"); err == nil {
		t.Fatal("opened")
	}
	if _, err := Open(dir, "../a"); err == nil {
		t.Fatal("Open accepted an invalid name")
	}
}

// TestCertificateFormatUnchanged decodes the JSON that version 7105f7a wrote and expects the same bytes when it is
// encoded again.
func TestCertificateFormatUnchanged(t *testing.T) {
	fixture, err := os.ReadFile("testdata/certificate.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Certificate
	decoder := json.NewDecoder(bytes.NewReader(fixture))
	decoder.DisallowUnknownFields()
	mustSucceed(t, decoder.Decode(&got))
	notBefore := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	want := Certificate{
		File: "f.pem", Name: "n", CA: true, Serial: "1f",
		NotBefore: notBefore, NotAfter: notBefore.Add(time.Hour), Trusted: true, Reason: "r",
	}
	encoded, err := json.Marshal(got)
	if err != nil || got != want || !bytes.Equal(encoded, bytes.TrimSpace(fixture)) {
		t.Errorf("decoded %+v, encoded %s, error %v", got, encoded, err)
	}
}
