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

var update = flag.Bool("update", false, "write the import graph into docs/architecture.md")

const (
	module           = "birchmoor/"
	architecturePage = "../../docs/architecture.md"
	graphBegin       = "<!-- imports: begin -->\n```\n"
	graphEnd         = "```\n<!-- imports: end -->\n"
)

// layers lists the layers, each with the layers that its packages may import. Imports of tests are not checked.
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

// allImports returns the imports between packages of this module, by the importing package. Paths are without the
// module and "internal/". Imports of tests are left out.
func allImports(t *testing.T) map[string][]string {
	t.Helper()
	cmd := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./...")
	cmd.Dir = "../.."
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	shortPath := func(path string) string { return strings.TrimPrefix(strings.TrimPrefix(path, module), "internal/") }
	importsByPackage := map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		paths := strings.Fields(line)
		var imports []string
		for _, path := range paths[1:] {
			if strings.HasPrefix(path, module) {
				imports = append(imports, shortPath(path))
			}
		}
		importsByPackage[shortPath(paths[0])] = imports
	}
	return importsByPackage
}

// layerOf returns the first element of a package's path.
func layerOf(pkg string) string {
	layer, _, _ := strings.Cut(pkg, "/")
	return layer
}

func TestLayersImportOnlyAllowedLayers(t *testing.T) {
	allowed := map[string][]string{}
	for _, l := range layers {
		allowed[l.name] = l.imports
	}
	for pkg, imports := range allImports(t) {
		allowedLayers, known := allowed[layerOf(pkg)]
		if !known {
			t.Errorf("package %s belongs to no layer", pkg)
		}
		for _, path := range imports {
			if !slices.Contains(allowedLayers, layerOf(path)) {
				t.Errorf("package %s must not import %s", pkg, path)
			}
		}
	}
}

// importGraph returns the imports as text, with one line per package, grouped by layer. The lab has a single line: its
// packages measure the others, and packages of the other layers, testutil and cmd aside, do not import it.
func importGraph(importsByPackage map[string][]string) string {
	importsOfLab := map[string]bool{}
	var text strings.Builder
	for _, l := range layers {
		var pkgs []string
		for pkg, imports := range importsByPackage {
			if layerOf(pkg) != l.name {
				continue
			}
			if l.name != "lab" {
				pkgs = append(pkgs, pkg)
				continue
			}
			for _, path := range imports {
				if layerOf(path) != "lab" {
					importsOfLab[path] = true
				}
			}
		}
		slices.Sort(pkgs)
		for _, pkg := range pkgs {
			writeImports(&text, pkg, importsByPackage[pkg])
		}
		if l.name == "lab" {
			var imports []string
			for path := range importsOfLab {
				imports = append(imports, path)
			}
			writeImports(&text, "lab/...", imports)
		}
	}
	return text.String()
}

// writeImports writes a package and its imports, grouped by layer.
func writeImports(text *strings.Builder, pkg string, imports []string) {
	const width, columns = 28, 120
	line := fmt.Sprintf("%-*s", width, pkg)
	slices.Sort(imports)
	layer := ""
	for _, path := range imports {
		name := path
		if pathLayer, rest, ok := strings.Cut(path, "/"); ok && pathLayer == layer {
			name = rest
		}
		layer = layerOf(path)
		if len(line)+1+len(name) > columns {
			fmt.Fprintln(text, strings.TrimRight(line, " "))
			line = strings.Repeat(" ", width)
		}
		line += " " + name
	}
	fmt.Fprintln(text, strings.TrimRight(line, " "))
}

func TestArchitecturePageShowsTheImports(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok := strings.Cut(string(page), graphBegin)
	_, after, ended := strings.Cut(rest, graphEnd)
	if !ok || !ended {
		t.Fatalf("%s has no import graph between its marks", architecturePage)
	}
	want := before + graphBegin + importGraph(allImports(t)) + graphEnd + after
	if string(page) == want {
		return
	}
	if !*update {
		t.Fatalf("the import graph in %s is out of date: run go test ./internal/cicheck -run Architecture -update",
			architecturePage)
	}
	if err := os.WriteFile(architecturePage, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Each file and folder that the architecture page names must exist.
func TestArchitecturePageNamesExistingPaths(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	paths := regexp.MustCompile("`((?:cmd|internal|balancer|deploy|docs)/[A-Za-z0-9_./-]*)`").
		FindAllStringSubmatch(string(page), -1)
	if len(paths) == 0 {
		t.Error("the architecture page names no files")
	}
	for _, p := range paths {
		if _, err := os.Stat(filepath.Join("../..", p[1])); err != nil {
			t.Errorf("the architecture page names %s, which does not exist", p[1])
		}
	}
}
