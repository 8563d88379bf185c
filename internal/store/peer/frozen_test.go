package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"birchmoor/internal/store/replica"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// frozenForm is a value that is sent to peers. Its encoding by commit 7105f7a is a line in testdata/frozen.
type frozenForm struct {
	name    string
	value   any
	decoded any // pointer to the zero value of the same type; nil for a frame
}

func TestFrozenForms(t *testing.T) {
	text, err := os.ReadFile("testdata/frozen/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	forms := frozenForms()
	if len(lines) != len(forms) {
		t.Fatalf("testdata/frozen/forms.txt has %d lines for %d forms", len(lines), len(forms))
	}
	for i, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			name, frozen, _ := strings.Cut(lines[i], ": ")
			if name != form.name {
				t.Fatalf("line %d of testdata/frozen/forms.txt is the form %q", i+1, name)
			}
			form.check(t, frozen)
		})
	}
}

func (f *frozenForm) check(t *testing.T, frozen string) {
	t.Helper()
	encoded, err := hex.DecodeString(frozen)
	if err != nil {
		t.Fatal(err)
	}
	if frame, ok := f.value.(frozenFrame); ok {
		frame.check(t, encoded)
		return
	}
	if reencoded, err := cbor.Marshal(f.value); err != nil || !bytes.Equal(reencoded, encoded) {
		t.Errorf("encoded as %x, want the frozen form %x: %v", reencoded, encoded, err)
	}
	if err := cbor.Unmarshal(encoded, f.decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(reflect.ValueOf(f.decoded).Elem().Interface(), f.value); diff != "" {
		t.Error(diff)
	}
}

type frozenFrame struct {
	kind    frameKind
	payload string
}

func (f *frozenFrame) check(t *testing.T, encoded []byte) {
	t.Helper()
	if reencoded := appendFrame(nil, f.kind, []byte(f.payload)); !bytes.Equal(reencoded, encoded) {
		t.Errorf("encoded as %x, want the frozen form %x", reencoded, encoded)
	}
	kind, payload, err := readFrame(bytes.NewReader(encoded), len(f.payload))
	if err != nil || kind != f.kind || string(payload) != f.payload {
		t.Errorf("readFrame returned kind %c, payload %q, error %v", kind, payload, err)
	}
}

func frozenForms() []frozenForm {
	identity := replica.Identity{ClusterID: 0x99, MemberID: 2, DiskID: 77, Boot: 3}
	self := replica.Hello{Identity: identity, Name: "two", LastIndex: 12}
	hello := Hello{
		Protocol: Protocol, From: self, Name: "two", RecipientName: "one", RecipientID: 1, Address: "10.0.0.2:7000",
	}
	return []frozenForm{
		{"hello", hello, new(Hello)},
		{"reply", HelloReply{From: self, Name: "one"}, new(HelloReply)},
		{"rejection", HelloReply{Rejection: "not a member", From: self, Name: "one"}, new(HelloReply)},
		{"hello frame", frozenFrame{kindHello, "payload"}, nil},
		{"reply frame", frozenFrame{kindHelloReply, "payload"}, nil},
		{"message frame", frozenFrame{kindMessage, "payload"}, nil},
		{"snapshot frame", frozenFrame{kindSnapshot, "payload"}, nil},
		{"snapshot part frame", frozenFrame{kindSnapshotPart, ""}, nil},
	}
}
