#!/usr/bin/env node
/** The `goldcrestloom-endpoint` daemon, which runs an endpoint process. */
import {EndpointTask, endpointSpecs} from "../endpoint/index.js"
import {HostRole} from "../host/index.js"
import {createLog, runDaemon} from "../program/index.js"

await runDaemon({
	name: "goldcrestloom-endpoint",
	description:
		"Runs requests from entries on the engines or plain services listed by --workers, as a host of a pool",
	example:
		"goldcrestloom-endpoint --id writer-1 --failure-domain bc-coast-a --pool loom-writers --link 127.0.0.1:7301 --workers http://127.0.0.1:8001 --platform http://127.0.0.1:7000 --entries 127.0.0.1:7201",
	specs: endpointSpecs,
	createLog: ({id, logLevel}) =>
		createLog({role: HostRole.Endpoint, hostId: id, level: logLevel}),
	start: settings => EndpointTask.start(settings)
})
