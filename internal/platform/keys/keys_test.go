package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// meet has two sides greet over TLS, and says what either found wrong.
func meet(t *testing.T, server, client *Pair, name string) error {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	failed := make(chan error, 1)
	go func() {
		s := tls.Server(a, server.Server())
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		failed <- err
		a.Close()
	}()
	conf, err := client.Client(name)
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(b, conf)
	if err = c.Handshake(); err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	b.Close()
	return errors.Join(err, <-failed)
}

func pair(t *testing.T, dir, name string) *Pair {
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

func TestWhoIsLetIn(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false), Issue(dir, "late", -time.Minute, false),
		Init(other, "two"), Issue(other, "b", time.Hour, false))
	a, b := pair(t, dir, "a"), pair(t, dir, "b")
	ok(t, meet(t, a, b, "a"))
	for what, err := range map[string]error{
		"wrong name":        meet(t, a, b, "c"),
		"foreign authority": meet(t, a, pair(t, other, "b"), "a"),
		"expired":           meet(t, a, pair(t, dir, "late"), "a"),
	} {
		if err == nil {
			t.Errorf("%s was let in", what)
		}
	}
	if err := Init(dir, "one"); !errors.Is(err, ErrExists) {
		t.Error(err)
	}
	if err := Issue(dir, "a", time.Hour, false); !errors.Is(err, ErrExists) {
		t.Error(err)
	}
}

// Keys are replaced while both sides hold the Pair that they opened at first.
func TestRotationWithoutARestart(t *testing.T) {
	dir := t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), Issue(dir, "b", time.Hour, false))
	a, b := pair(t, dir, "a"), pair(t, dir, "b")
	ok(t, meet(t, a, b, "a"), Rotate(dir, "one"), meet(t, a, b, "a"))
	ok(t, Issue(dir, "a", time.Hour, true), meet(t, a, b, "a")) // one of the new authority, one of the old
	ok(t, Retire(dir))
	if err := meet(t, a, b, "a"); err == nil {
		t.Fatal("the old authority is trusted still")
	}
	ok(t, Issue(dir, "b", time.Hour, true), meet(t, a, b, "a"))
	all, err := List(dir)
	if err != nil || len(all) != 3 || !all[0].Trusted || !all[2].Trusted {
		t.Fatalf("%+v %v", all, err)
	}
}

func TestKeysThatOthersMayReadAreRefused(t *testing.T) {
	dir := t.TempDir()
	ok(t, Init(dir, "one"), Issue(dir, "a", time.Hour, false), os.Chmod(filepath.Join(dir, "a.key"), 0o644))
	if _, err := Open(dir, "a"); err == nil {
		t.Fatal("let in")
	}
	if _, err := Open(dir, "../a"); err == nil {
		t.Fatal("not a name")
	}
}
