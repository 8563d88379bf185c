package main

import (
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// A query ends with an exit code by the answer, and prints the answer as text or JSON.
func TestDNSQueryPrintsAnswerAndExitsByResponseCode(t *testing.T) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &dns.Server{PacketConn: pc, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, m *dns.Msg) {
		a := new(dns.Msg).SetReply(m)
		switch m.Question[0].Name {
		case "there.test.":
			rr, _ := dns.NewRR("there.test. 9 IN TXT \"a b\"")
			a.Answer = []dns.RR{rr}
		case "none.test.":
			a.Rcode = dns.RcodeNameError
		default:
			a.Rcode = dns.RcodeRefused
			a.SetEdns0(1232, false)
			a.IsEdns0().Option = []dns.EDNS0{&dns.EDNS0_EDE{InfoCode: 18, ExtraText: "no class"}}
		}
		if err := w.WriteMsg(a); err != nil {
			t.Errorf("the answer: %v", err)
		}
	})}
	served := make(chan error, 1)
	go func() { served <- s.ActivateAndServe() }()
	defer func() {
		if err := errors.Join(s.Shutdown(), <-served); err != nil {
			t.Errorf("the name server: %v", err)
		}
	}()
	at := pc.LocalAddr().String()
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"there.test", "TXT", "--at", at}, 0, `"a b"`},
		{[]string{"there.test", "txt", "--at", at, "--json"}, 0, `"status":"NOERROR"`},
		{[]string{"none.test", "--at", at}, 0, "NXDOMAIN"},
		{[]string{"other.test", "--at", at}, exitFailure, "18 no class"},
		{[]string{"there.test", "--at", at, "--tcp", "--timeout", "1s"}, exitFailure, "no answer from"}, // not over TCP
		{[]string{"there.test", "NOTYPE", "--at", at}, exitUsage, "no type of record"},
		{[]string{"there.test", "--at", "nowhere"}, exitUsage, "--at"},
		{[]string{"a..b", "--at", at}, exitUsage, "no name"},
	} {
		code, out, errs := birchmoor(append([]string{"dns", "query"}, c.args...)...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%v: exit code %d, want %d with %q: %s%s", c.args, code, c.code, c.says, out, errs)
		}
		if c.code == 0 && c.args[len(c.args)-1] == "--json" && !json.Valid([]byte(out)) {
			t.Errorf("no JSON: %s", out)
		}
	}
}

// A fault of [dns] is reported with its key, before anything starts.
func TestCheckNamesFaultyDNSKey(t *testing.T) {
	const class = "\n[dns.class.look]\nsuffixes = [\"a.test\"]\n"
	const listen = "[dns]\nlisten = \"127.0.0.1:53\"\n"
	for text, want := range map[string]string{
		"[dns]\nlisten = \"127.0.0.1:5353\"\n":                "dns.class: at least one",
		"[dns]\n" + class:                                     "dns.listen: is missing",
		"[dns]\nlisten = \"0.0.0.0:53\"\n" + class:            "dns.listen: \"0.0.0.0\" is not the address of one",
		listen + "open = -1\n" + class:                        "dns.open: -1",
		listen + "slip = 101\n" + class:                       "dns.slip: 101",
		listen + class + "tipes = [\"A\"]\n":                  ":6: dns.class.look.tipes: is not a key",
		listen + class + "types = [\"AAAAA\"]\n":              "dns.class.look.types: \"AAAAA\"",
		listen + class + "transports = [\"quic\"]\n":          "dns.class.look.transports: \"quic\"",
		listen + class + "ops = [\"query\", \"update\"]\n":    "a class of their own",
		listen + class + "ops = [\"update\"]\nshare = true\n": "dns.class.look.share",
		listen + class + "aim = \"3s\"\ngive_up = \"2s\"\n":   "dns.class.look.aim: is over give_up",
		listen + class + "late_worth = 1.5\n":                 "dns.class.look.late_worth: 1.5",
	} {
		code, out, errs := birchmoor("check", writeFile(t, "op.toml", text))
		if code != exitUsage || !strings.Contains(errs, want) {
			t.Errorf("%q: exit code %d, want %q: %s%s", text, code, want, out, errs)
		}
	}
	sound := writeFile(t, "op.toml", "[dns]\nlisten = \"127.0.0.1:5353\"\n"+class)
	if code, _, errs := birchmoor("check", sound); code != 0 {
		t.Errorf("a sound file: exit code %d: %s", code, errs)
	}
}
