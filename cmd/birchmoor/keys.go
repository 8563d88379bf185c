package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"birchmoor/internal/platform/keys"
)

type keysCommands struct {
	Init   keysInit   `cmd:"" help:"Make a folder with a new authority for a cluster."`
	Issue  keysIssue  `cmd:"" help:"Make a certificate for a replica."`
	Rotate keysRotate `cmd:"" help:"Make a new authority beside the old one, or end the trust in the old one."`
	Show   keysShow   `cmd:"" help:"List the certificates of a folder."`
}

type keysInit struct {
	Dir     string `arg:"" help:"Folder to make, such as keys."`
	Cluster string `help:"Name of the cluster, for people." default:"birchmoor"`
}

func (k *keysInit) Run(c *console) error {
	if err := keys.Init(k.Dir, k.Cluster); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: an authority was made."+
		" Keep ca.key off the replicas: they need ca.pem and their own NAME.key.\n", k.Dir)
	return nil
}

type keysIssue struct {
	Dir      string        `arg:"" type:"existingdir" help:"Folder of the authority."`
	Name     string        `arg:"" help:"Name of the replica."`
	Validity time.Duration `name:"life" help:"For how long it holds." default:"2160h"`
	Replace  bool          `help:"Replace the one that is there; a running replica shows the new one from its next connection on."`
}

func (k *keysIssue) Run(c *console) error {
	if err := keys.Issue(k.Dir, k.Name, k.Validity, k.Replace); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: a certificate for %q, for %v\n", k.Dir, k.Name, k.Validity)
	return nil
}

type keysRotate struct {
	Dir     string `arg:"" type:"existingdir" help:"Folder of the authority."`
	Cluster string `help:"Name of the cluster, for people." default:"birchmoor"`
	Retire  bool   `help:"End the trust in all authorities but the newest."`
}

func (k *keysRotate) Help() string {
	return `Three steps, each with ca.pem copied to all replicas before the next; nothing is restarted:
  birchmoor keys rotate keys                  # both authorities are trusted
  birchmoor keys issue keys NAME --replace    # for each replica, and copy its NAME.key
  birchmoor keys rotate keys --retire         # the old authority is trusted no more`
}

func (k *keysRotate) Run() error {
	if k.Retire {
		return keys.Retire(k.Dir)
	}
	return keys.Rotate(k.Dir, k.Cluster)
}

type keysShow struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder."`
	JSON bool   `help:"As JSON."`
}

func (k *keysShow) Run(c *console) error {
	all, err := keys.List(k.Dir)
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(all)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tAUTHORITY\tENDS\tTRUSTED\tFILE")
	for _, i := range all {
		trusted := "yes"
		if !i.Trusted {
			trusted = i.Reason
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%s\n", i.Name, i.CA, i.NotAfter.Format(time.DateTime), trusted, i.File)
	}
	return w.Flush()
}
