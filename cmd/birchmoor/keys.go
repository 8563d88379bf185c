package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"birchmoor/internal/platform/keys"
)

type keysCommands struct {
	Init   keysInit   `cmd:"" help:"Create a folder with a new certificate authority for a cluster."`
	Issue  keysIssue  `cmd:"" help:"Issue a certificate for a replica."`
	Rotate keysRotate `cmd:"" help:"Add a new authority next to the old one, or remove the trust in the old one."`
	Show   keysShow   `cmd:"" help:"List the certificates in a folder."`
}

type keysInit struct {
	Dir     string `arg:"" help:"Folder to create, such as keys."`
	Cluster string `help:"Name of the cluster, shown in certificates." default:"birchmoor"`
}

func (k *keysInit) Run(c *console) error {
	if err := keys.Init(k.Dir, k.Cluster); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: created an authority."+
		" Keep ca.key off the replicas: they need only ca.pem and their own NAME.key.\n", k.Dir)
	return nil
}

type keysIssue struct {
	Dir      string        `arg:"" type:"existingdir" help:"Folder of the authority."`
	Name     string        `arg:"" help:"Name of the replica."`
	Validity time.Duration `name:"life" help:"How long the certificate is valid." default:"2160h"`
	Replace  bool          `help:"Replace an existing certificate. A running replica uses the new one from its next connection on."`
}

func (k *keysIssue) Run(c *console) error {
	if err := keys.Issue(k.Dir, k.Name, k.Validity, k.Replace); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: issued a certificate for %q, valid for %v\n", k.Dir, k.Name, k.Validity)
	return nil
}

type keysRotate struct {
	Dir     string `arg:"" type:"existingdir" help:"Folder of the authority."`
	Cluster string `help:"Name of the cluster, shown in certificates." default:"birchmoor"`
	Retire  bool   `help:"Remove the trust in all authorities but the newest."`
}

func (k *keysRotate) Help() string {
	return `Rotation takes three steps. Copy ca.pem to all replicas after each step, before the next; no process has to be
restarted:
  birchmoor keys rotate keys                  # replicas trust both authorities
  birchmoor keys issue keys NAME --replace    # for each replica; copy its NAME.key to it
  birchmoor keys rotate keys --retire         # replicas no longer trust the old authority`
}

func (k *keysRotate) Run() error {
	if k.Retire {
		return keys.Retire(k.Dir)
	}
	return keys.Rotate(k.Dir, k.Cluster)
}

type keysShow struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder of the authority."`
	JSON bool   `help:"Print JSON."`
}

func (k *keysShow) Run(c *console) error {
	certificates, err := keys.List(k.Dir)
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(certificates)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tAUTHORITY\tENDS\tTRUSTED\tFILE")
	for _, info := range certificates {
		trusted := "yes"
		if !info.Trusted {
			trusted = info.Reason
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\t%s\n", info.Name, info.CA, info.NotAfter.Format(time.DateTime), trusted,
			info.File)
	}
	return w.Flush()
}
