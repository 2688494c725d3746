#!/usr/bin/env node
/** Runs a platform stand-in. */
import {integer, runDaemon} from "../../src/program/index.js"
import {startPlatform} from "../platform/index.js"
import {closeOnDrain, listenSpec, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-platform",
	description: "Stand-in of the platform's object API and list of hosts",
	example: "standin-platform --listen 127.0.0.1:7000",
	specs: {
		listen: listenSpec,
		writesPerSecond: {
			schema: integer(1, 1_000_000, 400),
			description: "Budget of writes"
		},
		readsPerSecond: {
			schema: integer(1, 1_000_000, 2_000),
			description: "Budget of reads"
		},
		hostLagMs: {
			schema: integer(0, 600_000, 500),
			description: "Lag of the list of hosts"
		}
	},
	start: async ({listen, ...options}) =>
		closeOnDrain([await startPlatform({...parseListen(listen), ...options})])
})
