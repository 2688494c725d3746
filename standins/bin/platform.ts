#!/usr/bin/env node
/** Runs a platform stand-in. */
import {integerSchema, runDaemon} from "../../src/program/index.js"
import {startPlatform} from "../platform/index.js"
import {createDrainableService, listenSetting, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-platform",
	description: "Stand-in for the platform's object API and list of hosts",
	example: "standin-platform --listen 127.0.0.1:7000",
	specs: {
		listen: listenSetting,
		writesPerSecond: {
			schema: integerSchema(1, 1_000_000, 400),
			description: "Rate limit of writes, per second"
		},
		readsPerSecond: {
			schema: integerSchema(1, 1_000_000, 2_000),
			description: "Rate limit of reads, per second"
		},
		hostLagMs: {
			schema: integerSchema(0, 600_000, 500),
			description: "Age of the list of hosts, in ms"
		}
	},
	start: async ({listen, ...options}) =>
		createDrainableService([
			await startPlatform({...parseListen(listen), ...options})
		])
})
