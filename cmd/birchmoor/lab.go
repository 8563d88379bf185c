package main

type labCommands struct {
	Run       runCommand       `cmd:"" help:"Run a scenario in real time, with sidecars as processes on real sockets."`
	Sim       simCommand       `cmd:"" help:"Run a scenario in virtual time, with the decision module of each sidecar."`
	Compare   compareCommand   `cmd:"" help:"Compare two programs, settings files or scenarios by runs with the same seeds."`
	Sweep     sweepCommand     `cmd:"" help:"Run a scenario at several sizes in virtual time, and show how each figure grows."`
	Bench     benchCommand     `cmd:"" help:"Measure a direct connection, Go's reverse proxy and the sidecar side by side."`
	DNS       labDNSCommand    `cmd:"" help:"Run scenarios of DNS queries through the sidecar's DNS front, with simulated resolvers."`
	DNSBench  dnsBenchCommand  `cmd:"" help:"Measure direct DNS queries, a plain forwarder and the sidecar side by side."`
	DNSPeer   dnsPeerCommand   `cmd:"" hidden:""`
	Report    reportCommand    `cmd:"" help:"Write the report of a run as one HTML file."`
	BenchPeer benchPeerCommand `cmd:"" hidden:""`
	Scale     scaleCommand     `cmd:"" help:"Measure what each role costs in a fleet larger than one machine can run: real daemons next to hollow ones."`
	Hollow    hollowCommand    `cmd:"" hidden:""`
	Soak      soakCommand      `cmd:"" help:"Run a small fleet of processes under schedules of faults generated from seeds, and check what clients saw."`
	Messages  messagesCommand  `cmd:"" help:"Run sidecar processes with long and slow messages from seeds under signals, and check what clients saw."`
	Chain     chainCommand     `cmd:"" help:"Run a chain of sidecars: the latency that it adds, the deadlines that it passes on, and the attempts at a failing leaf."`
}
