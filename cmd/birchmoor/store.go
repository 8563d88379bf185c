package main

type storeCommands struct {
	Status   storeStatus   `cmd:"" help:"How a replica of the store stands."`
	Meter    storeMeter    `cmd:"" help:"What the control plane cost this daemon since its start, by purpose."`
	Members  storeMembers  `cmd:"" help:"List the replicas."`
	Add      storeAdd      `cmd:"" help:"Add a replica, which waits with an empty disk."`
	Remove   storeRemove   `cmd:"" help:"Remove a replica for good."`
	Out      storeOut      `cmd:"" help:"List the servers that are out, drained or banned."`
	Servers  storeServers  `cmd:"" help:"List what is known of servers, from whom and how old."`
	Handover storeHandover `cmd:"" help:"Give leadership away, before a planned stop."`
	Get      storeGet      `cmd:"" help:"Read a key, or all keys with a prefix."`
	Put      storePut      `cmd:"" help:"Write a key."`
	Delete   storeDelete   `cmd:"" help:"Delete a key."`
	Lease    leaseCommands `cmd:"" help:"Keys that go when their holder falls silent."`
	Watch    storeWatch    `cmd:"" help:"Follow changes."`
	Snapshot storeSnapshot `cmd:"" help:"Save the whole store in a file, or begin a new cluster from one."`
	Bench    storeBench    `cmd:"" help:"Measure the store on this machine, beside a bare bbolt file."`
	Torture  storeTorture  `cmd:"" help:"Kill three real replicas in turn, or cut one off, under writers and readers, and look for what is lost."`
	Fleet    fleetCommands `cmd:"" help:"Run a fleet of daemons with sidecars, over slot servers that count."`
	Sim      storeSim      `cmd:"" help:"Play clusters of the store in simulation, many seeds."`
}
