package operatorconfig

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Guards against changed keys, values and defaults. A file with every key and a file with only the required keys are
// read and written again; the results equal those of commit 7105f7a.
func TestFileFormatUnchanged(t *testing.T) {
	files := map[string]*File{}
	for _, name := range []string{"full", "defaults"} {
		f, err := Read(filepath.Join("testdata", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		written, err := toml.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		golden, err := os.ReadFile(filepath.Join("testdata", name+".golden.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(written, golden) {
			t.Errorf("%s.toml is read as\n%s\nwant\n%s", name, written, golden)
		}
		files[name] = f
	}
	full := files["full"]
	for name, equal := range map[string]bool{
		"store.elect_ticks": full.Store.ElectionTicks == 11,
		"store.wait":        full.Store.FirstCopyTimeout == Duration(510*time.Millisecond),
		"store.skew":        full.Store.MaxClockSkew == 0.03,
		"limits.tell":       full.Limits.ReportInterval == Duration(260*time.Millisecond),
		"dns.per_conn":      full.DNS.MaxOpenPerConn == 66,
		"dns.class.aim":     full.DNS.Class["lookup"].LatencyObjective == Duration(251*time.Millisecond),
		"capture.file_age":  full.Capture.MaxFileAge == Duration(31*time.Minute),
	} {
		if !equal {
			t.Errorf("the value of %s is not in its field: %+v", name, full)
		}
	}
}
