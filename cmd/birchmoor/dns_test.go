package main

import (
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// dns query prints the answer as text or JSON, and its exit code depends on the response code.
func TestDNSQueryPrintsAnswerAndExitsByResponseCode(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &dns.Server{PacketConn: conn, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, m *dns.Msg) {
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
			t.Errorf("writing the answer: %v", err)
		}
	})}
	served := make(chan error, 1)
	go func() { served <- server.ActivateAndServe() }()
	defer func() {
		if err := errors.Join(server.Shutdown(), <-served); err != nil {
			t.Errorf("shutting down the name server: %v", err)
		}
	}()
	address := conn.LocalAddr().String()
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"there.test", "TXT", "--at", address}, 0, `"a b"`},
		{[]string{"there.test", "txt", "--at", address, "--json"}, 0, `"status":"NOERROR"`},
		{[]string{"none.test", "--at", address}, 0, "NXDOMAIN"},
		{[]string{"other.test", "--at", address}, exitFailure, "18 no class"},
		{[]string{"there.test", "--at", address, "--tcp", "--timeout", "1s"}, exitFailure, "no answer from"}, // UDP only
		{[]string{"there.test", "NOTYPE", "--at", address}, exitUsage, "not a record type"},
		{[]string{"there.test", "--at", "nowhere"}, exitUsage, "--at"},
		{[]string{"a..b", "--at", address}, exitUsage, "not a valid domain name"},
	} {
		code, out, errs := birchmoor(append([]string{"dns", "query"}, c.args...)...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%v: exit code %d, want %d with %q: %s%s", c.args, code, c.code, c.says, out, errs)
		}
		if c.code == 0 && c.args[len(c.args)-1] == "--json" && !json.Valid([]byte(out)) {
			t.Errorf("--json prints invalid JSON: %s", out)
		}
	}
}

// birchmoor check reports an invalid value in [dns] with its key.
func TestCheckNamesInvalidDNSKey(t *testing.T) {
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
	validFile := writeFile(t, "op.toml", "[dns]\nlisten = \"127.0.0.1:5353\"\n"+class)
	if code, _, errs := birchmoor("check", validFile); code != 0 {
		t.Errorf("a valid file: exit code %d: %s", code, errs)
	}
}
