#!/usr/bin/env node
/** Runs a plain service stand-in. */
import {integer, kinds, runDaemon} from "../../src/program/index.js"
import {startService} from "../service.js"
import {closeOnDrain, listenSpec, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-service",
	description: "Stand-in of a plain service for bookings and filings",
	example: "standin-service --listen 127.0.0.1:7200",
	specs: {
		listen: listenSpec,
		checksOrders: {
			schema: kinds.boolean,
			description: "Refuse calls with an old fencing number"
		},
		callMs: {
			schema: integer(0, 600_000, 40),
			description: "Duration of one call"
		}
	},
	start: async ({listen, ...options}) =>
		closeOnDrain([await startService({...parseListen(listen), ...options})])
})
