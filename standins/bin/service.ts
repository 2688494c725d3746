#!/usr/bin/env node
/** Runs a plain service stand-in. */
import {
	integerSchema,
	settingSchemas,
	runDaemon
} from "../../src/program/index.js"
import {startService} from "../service.js"
import {createDrainableService, listenSetting, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-service",
	description: "Stand-in for a plain service for bookings and filings",
	example: "standin-service --listen 127.0.0.1:7200",
	specs: {
		listen: listenSetting,
		checksOrders: {
			schema: settingSchemas.boolean,
			description:
				"Reject submissions without a fencing token or with a stale one"
		},
		callMs: {
			schema: integerSchema(0, 600_000, 40),
			description: "Duration of one call, in ms"
		}
	},
	start: async ({listen, ...options}) =>
		createDrainableService([
			await startService({...parseListen(listen), ...options})
		])
})
