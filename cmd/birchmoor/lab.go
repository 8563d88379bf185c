package main

type labCommands struct {
	Run       runCommand       `cmd:"" help:"Play a scenario in real time: the program as processes, on real sockets."`
	Sim       simCommand       `cmd:"" help:"Play a scenario in virtual time, with the decision module of each sidecar."`
	Compare   compareCommand   `cmd:"" help:"Play two binaries, settings files or scenarios over the same seeds, in turn."`
	Sweep     sweepCommand     `cmd:"" help:"Play a scenario at several sizes in virtual time, and tell which cost grows with what."`
	Bench     benchCommand     `cmd:"" help:"Measure no proxy, Go's reverse proxy and the sidecar side by side."`
	DNS       labDNSCommand    `cmd:"" help:"Play name look-ups through the sidecar's DNS front, among stand-in resolvers."`
	DNSBench  dnsBenchCommand  `cmd:"" help:"Measure asking directly, a plain forwarder and the sidecar side by side."`
	DNSPeer   dnsPeerCommand   `cmd:"" hidden:""`
	Report    reportCommand    `cmd:"" help:"Draw a run as one HTML file."`
	BenchPeer benchPeerCommand `cmd:"" hidden:""`
	Scale     scaleCommand     `cmd:"" help:"Run a fleet far larger than the machine: real daemons beside hollow ones, and what each role costs."`
	Hollow    hollowCommand    `cmd:"" hidden:""`
	Soak      soakCommand      `cmd:"" help:"Play hard lives of a small fleet of processes, drawn from seeds, and judge what callers saw."`
	Chain     chainCommand     `cmd:"" help:"Play a row of sidecars: the time that it adds, the time left that it passes on, and attempts at a leaf that fails."`
}
