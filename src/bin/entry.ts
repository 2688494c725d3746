#!/usr/bin/env node
/** The `goldcrestloom-entry` daemon, which runs an entry process. */
import {EntryTask, entrySpecs} from "../entry/index.js"
import {HostRole} from "../host/index.js"
import {createLog, runDaemon} from "../program/index.js"

await runDaemon({
	name: "goldcrestloom-entry",
	description:
		"Accepts requests from callers and routes them to endpoint processes",
	example:
		"goldcrestloom-entry --id entry-1 --failure-domain bc-coast-a --listen 127.0.0.1:7100 --link 127.0.0.1:7201 --platform http://127.0.0.1:7000",
	specs: entrySpecs,
	createLog: ({id, logLevel}) =>
		createLog({role: HostRole.Entry, hostId: id, level: logLevel}),
	start: settings => EntryTask.start(settings)
})
