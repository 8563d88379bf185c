// Command review2 runs the cases of the second review: "review2 CASE FOLDER", from the root of the repository. It writes
// FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(*env){
	"moved":  movedCase,
	"held":   heldCase,
	"pushed": pushedCase,
}

// longestRun is the time after which a case that has not ended could not run.
const longestRun = 110 * time.Second

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(fault)
			if !ok {
				panic(p)
			}
			fmt.Println("the case could not run:", f.reason)
			code = 2
		}
	}()
	e := &env{trouble: os.Getenv("TROUBLE") != "0", root: must(os.Getwd()), start: time.Now()}
	e.dir = must(os.MkdirTemp("", "review2-"))
	e.record = must(os.Create(filepath.Join(os.Args[2], "record.txt")))
	defer e.record.Close()
	defer e.end()
	time.AfterFunc(longestRun, func() {
		fmt.Println("the case could not run: it did not end")
		e.end()
		os.Exit(2)
	})
	cases[os.Args[1]](e)
	for i, b := range e.broken {
		if i < 5 {
			fmt.Println("broken:", b)
		}
	}
	if len(e.broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(e.broken))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
