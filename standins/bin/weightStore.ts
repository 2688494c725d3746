#!/usr/bin/env node
/** Runs a weight store stand-in. */
import {z} from "zod"
import {integerSchema, runDaemon} from "../../src/program/index.js"
import {startWeightStore} from "../weightStore.js"
import {createDrainableService, listenSetting, parseListen} from "./listen.js"

const rate = z
	.string()
	.default("5")
	.transform(Number)
	.pipe(z.number().positive())

await runDaemon({
	name: "standin-weight-store",
	description: "Stand-in for the rate-limited weight store",
	example: "standin-weight-store --listen 127.0.0.1:7001",
	specs: {
		listen: listenSetting,
		loadMs: {
			schema: integerSchema(0, 600_000, 250),
			description: "Duration of one load, in ms"
		},
		maxInFlight: {
			schema: integerSchema(1, 100_000, 8),
			description:
				"Loads in flight, including waiting ones, above which each takes longer"
		},
		loadsPerSecond: {schema: rate, description: "Loads started per second"},
		seed: {
			schema: integerSchema(0, 2_147_483_647, 1),
			description: "Seed of the random load failures"
		}
	},
	start: async ({listen, ...options}) =>
		createDrainableService([
			await startWeightStore({...parseListen(listen), ...options})
		])
})
