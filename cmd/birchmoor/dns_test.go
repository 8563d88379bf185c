package main

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// An operator's question ends with a code that scripts can go by, and with JSON that they can read.
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
		w.WriteMsg(a)
	})}
	go s.ActivateAndServe()
	defer s.Shutdown()
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
		{[]string{"there.test", "--at", at, "--tcp", "--timeout", "1s"}, exitFailure, "no answer from"}, // nobody listens there
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

// What is wrong with [dns] is named by its key before anything starts.
func TestCheckNamesFaultyDNSKey(t *testing.T) {
	const class = "\n[dns.class.look]\nsuffixes = [\"a.test\"]\n"
	for text, want := range map[string]string{
		"[dns]\nlisten = \"127.0.0.1:5353\"\n":                                              "dns.class: at least one",
		"[dns]\n" + class:                                                                   "dns.listen: is missing",
		"[dns]\nlisten = \"0.0.0.0:53\"\n" + class:                                          "dns.listen: \"0.0.0.0\" is not the address of one",
		"[dns]\nlisten = \"127.0.0.1:53\"\nopen = -1\n" + class:                             "dns.open: -1",
		"[dns]\nlisten = \"127.0.0.1:53\"\nslip = 101\n" + class:                            "dns.slip: 101",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "tipes = [\"A\"]\n":                  ":6: dns.class.look.tipes: is not a key",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "types = [\"AAAAA\"]\n":              "dns.class.look.types: \"AAAAA\"",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "transports = [\"quic\"]\n":          "dns.class.look.transports: \"quic\"",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "ops = [\"query\", \"update\"]\n":    "a class of their own",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "ops = [\"update\"]\nshare = true\n": "dns.class.look.share",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "aim = \"3s\"\ngive_up = \"2s\"\n":   "dns.class.look.aim: is over give_up",
		"[dns]\nlisten = \"127.0.0.1:53\"\n" + class + "late_worth = 1.5\n":                 "dns.class.look.late_worth: 1.5",
	} {
		code, out, errs := birchmoor("check", writeFile(t, "op.toml", text))
		if code != exitUsage || !strings.Contains(errs, want) {
			t.Errorf("%q: exit code %d, want %q: %s%s", text, code, want, out, errs)
		}
	}
	if code, _, errs := birchmoor("check", writeFile(t, "op.toml", "[dns]\nlisten = \"127.0.0.1:5353\"\n"+class)); code != 0 {
		t.Errorf("a sound file: exit code %d: %s", code, errs)
	}
}
