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

// handshake returns the errors of both sides of a TLS handshake.
func handshake(t *testing.T, server, client *Pair, name string) error {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { ok(t, a.Close(), b.Close()) }) // has no effect if they are closed below
	serverErr := make(chan error, 1)
	go func() {
		s := tls.Server(a, server.Server())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		serverErr <- errors.Join(err, a.Close())
	}()
	config, err := client.Client(name)
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(b, config)
	if err = c.Handshake(); err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	return errors.Join(err, b.Close(), <-serverErr)
}

func openPair(t *testing.T, dir, name string) *Pair {
	t.Helper()
	p, err := Open(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func ok(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func TestHandshakeRequiresNameAuthorityAndValidity(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false),
		Issue(dir, "late", -time.Minute, false), Init(other, "two"), Issue(other, "b", time.Hour, false))
	a, b := openPair(t, dir, "a"), openPair(t, dir, "b")
	ok(t, handshake(t, a, b, "a"))
	for what, err := range map[string]error{
		"wrong name":        handshake(t, a, b, "c"),
		"foreign authority": handshake(t, a, openPair(t, other, "b"), "a"),
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

// Keys are replaced while both sides keep the Pair that they opened at first.
func TestKeysAreReplacedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false))
	a, b := openPair(t, dir, "a"), openPair(t, dir, "b")
	ok(t, handshake(t, a, b, "a"), Rotate(dir, "one"), handshake(t, a, b, "a"))
	// One certificate is of the new authority, and one of the old.
	ok(t, Issue(dir, "a", time.Hour, true), handshake(t, a, b, "a"))
	ok(t, Retire(dir))
	if err := handshake(t, a, b, "a"); err == nil {
		t.Fatal("the retired authority is still trusted")
	}
	ok(t, Issue(dir, "b", time.Hour, true), handshake(t, a, b, "a"))
	all, err := List(dir)
	if err != nil || len(all) != 3 || !all[0].Trusted || !all[2].Trusted {
		t.Fatalf("%+v %v", all, err)
	}
}

func TestOpenRejectsFilesThatOthersMayRead(t *testing.T) {
	dir := t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), os.Chmod(filepath.Join(dir, "a.key"), 0o644))
	if _, err := Open(dir, "a"); err == nil {
		t.Fatal("opened")
	}
	if _, err := Open(dir, "../a"); err == nil {
		t.Fatal("opened by an invalid name")
	}
}

// TestCertificateFormatUnchanged decodes the JSON that revision 7105f7a wrote and encodes the same bytes again.
func TestCertificateFormatUnchanged(t *testing.T) {
	fixture, err := os.ReadFile("testdata/certificate.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Certificate
	decoder := json.NewDecoder(bytes.NewReader(fixture))
	decoder.DisallowUnknownFields()
	ok(t, decoder.Decode(&got))
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
