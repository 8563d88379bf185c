package operatorconfig

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// TestFileFormatUnchanged reads files with every key and with none but the required ones, and writes what was read as
// revision 7105f7a did: keys, values and defaults are the same.
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
			t.Errorf("%s reads as\n%s\nnot as\n%s", name, written, golden)
		}
		files[name] = f
	}
	full := files["full"]
	if full.Store.ElectionTicks != 11 || time.Duration(full.Store.FirstCopyTimeout) != 510*time.Millisecond || full.Limits.ReportInterval != Duration(260e6) ||
		full.DNS.MaxOpenPerConn != 66 || full.DNS.Class["lookup"].LatencyObjective != Duration(251e6) || full.Capture.MaxFileAge != Duration(31*time.Minute) {
		t.Errorf("%+v", full)
	}
}
