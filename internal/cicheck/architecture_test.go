package cicheck

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the picture of the imports into docs/architecture.md")

const (
	module       = "birchmoor/"
	architecture = "../../docs/architecture.md"
	pictureBegin = "<!-- imports: begin -->\n```\n"
	pictureEnd   = "```\n<!-- imports: end -->\n"
)

// layers says which layers the packages of each may import, tests aside.
var layers = []struct {
	name    string
	imports []string
}{
	{"balancer", nil},
	{"platform", []string{"balancer", "platform"}},
	{"dataplane", []string{"balancer", "platform", "dataplane"}},
	{"store", []string{"platform", "store"}},
	{"controlplane", []string{"balancer", "platform", "dataplane", "store", "controlplane"}},
	{"lab", []string{"balancer", "platform", "dataplane", "store", "controlplane", "lab"}},
	{"testutil", []string{"balancer", "platform", "dataplane", "lab"}},
	{"cicheck", nil},
	{"cmd", []string{"balancer", "platform", "dataplane", "store", "controlplane", "lab"}},
}

// importsOf lists this module's packages with what they import of it, both without the module and "internal/".
func importsOf(t *testing.T) map[string][]string {
	t.Helper()
	cmd := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./...")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	short := func(path string) string { return strings.TrimPrefix(strings.TrimPrefix(path, module), "internal/") }
	all := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		paths := strings.Fields(line)
		var imports []string
		for _, path := range paths[1:] {
			if strings.HasPrefix(path, module) {
				imports = append(imports, short(path))
			}
		}
		all[short(paths[0])] = imports
	}
	return all
}

func layerOf(pkg string) string {
	layer, _, _ := strings.Cut(pkg, "/")
	return layer
}

func TestLayersImportWhatTheyMay(t *testing.T) {
	allowed := map[string][]string{}
	for _, l := range layers {
		allowed[l.name] = l.imports
	}
	for pkg, imports := range importsOf(t) {
		may, known := allowed[layerOf(pkg)]
		if !known {
			t.Errorf("%s is in no layer", pkg)
		}
		for _, path := range imports {
			if !slices.Contains(may, layerOf(path)) {
				t.Errorf("%s imports %s", pkg, path)
			}
		}
	}
}

// picture draws the imports, a line a package by layer. The lab is one line: its packages measure the others and none of
// them imports it.
func picture(all map[string][]string) string {
	lab := map[string]bool{}
	var text strings.Builder
	for _, l := range layers {
		var pkgs []string
		for pkg, imports := range all {
			if layerOf(pkg) != l.name {
				continue
			}
			if l.name != "lab" {
				pkgs = append(pkgs, pkg)
				continue
			}
			for _, path := range imports {
				if layerOf(path) != "lab" {
					lab[path] = true
				}
			}
		}
		slices.Sort(pkgs)
		for _, pkg := range pkgs {
			draw(&text, pkg, all[pkg])
		}
		if l.name == "lab" {
			var imports []string
			for path := range lab {
				imports = append(imports, path)
			}
			draw(&text, "lab/...", imports)
		}
	}
	return text.String()
}

// draw writes a package and what it imports, grouped by layer.
func draw(text *strings.Builder, pkg string, imports []string) {
	const width, columns = 28, 120
	line := fmt.Sprintf("%-*s", width, pkg)
	slices.Sort(imports)
	layer := ""
	for _, path := range imports {
		word := path
		if l, rest, ok := strings.Cut(path, "/"); ok && l == layer {
			word = rest
		}
		layer = layerOf(path)
		if len(line)+1+len(word) > columns {
			fmt.Fprintln(text, strings.TrimRight(line, " "))
			line = strings.Repeat(" ", width)
		}
		line += " " + word
	}
	fmt.Fprintln(text, strings.TrimRight(line, " "))
}

func TestArchitecturePageShowsTheImports(t *testing.T) {
	page, err := os.ReadFile(architecture)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(page), pictureBegin)
	_, after, ended := strings.Cut(rest, pictureEnd)
	if !ok || !ended {
		t.Fatalf("%s has no picture of the imports", architecture)
	}
	want := before + pictureBegin + picture(importsOf(t)) + pictureEnd + after
	if string(page) == want {
		return
	}
	if !*update {
		t.Fatalf("the picture in %s is not that of the imports: go test ./internal/cicheck -run Architecture -update", architecture)
	}
	if err := os.WriteFile(architecture, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Files and folders that the page names are there.
func TestArchitecturePageNamesWhatIsThere(t *testing.T) {
	page, err := os.ReadFile(architecture)
	if err != nil {
		t.Fatal(err)
	}
	paths := regexp.MustCompile("`((?:cmd|internal|balancer|deploy|docs)/[A-Za-z0-9_./-]*)`").FindAllStringSubmatch(string(page), -1)
	if len(paths) == 0 {
		t.Error("the page names no file")
	}
	for _, p := range paths {
		if _, err := os.Stat(filepath.Join("../..", p[1])); err != nil {
			t.Errorf("the page names %s, which is not there", p[1])
		}
	}
}
