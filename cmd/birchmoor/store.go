package main

type storeCommands struct {
	Status   storeStatus   `cmd:"" help:"Show the state of a daemon and its copy of the store."`
	Meter    storeMeter    `cmd:"" help:"Show what the control plane cost this daemon since its start, by purpose."`
	Members  storeMembers  `cmd:"" help:"List the replicas."`
	Add      storeAdd      `cmd:"" help:"Add a replica that was started with an empty disk."`
	Remove   storeRemove   `cmd:"" help:"Remove a replica permanently."`
	Out      storeOut      `cmd:"" help:"List the excluded servers, such as drained and banned ones."`
	Servers  storeServers  `cmd:"" help:"List what is known about servers, with its source and age."`
	Handover storeHandover `cmd:"" help:"Transfer leadership to another replica, before a planned stop."`
	Get      storeGet      `cmd:"" help:"Read a key, or all keys with a prefix."`
	Put      storePut      `cmd:"" help:"Write a key."`
	Delete   storeDelete   `cmd:"" help:"Delete a key."`
	Lease    leaseCommands `cmd:"" help:"Grant, renew and end leases, whose keys are deleted when they end."`
	Watch    storeWatch    `cmd:"" help:"Print changes of keys as they happen."`
	Snapshot storeSnapshot `cmd:"" help:"Save a snapshot of the store in a file, or start a new cluster from one."`
	Bench    storeBench    `cmd:"" help:"Measure the store on this machine, compared with a plain bbolt file."`
	Torture  storeTorture  `cmd:"" help:"Kill or partition three replica processes under writers and readers, and check for lost writes."`
	Fleet    fleetCommands `cmd:"" help:"Test and measure a fleet of daemons with sidecars, with servers that count requests."`
	Sim      storeSim      `cmd:"" help:"Simulate clusters of the store with many seeds."`
}
