#!/usr/bin/env node
/** Runs a weight store stand-in. */
import {z} from "zod"
import {integer, runDaemon} from "../../src/program/index.js"
import {startWeightStore} from "../weightStore.js"
import {closeOnDrain, listenSpec, parseListen} from "./listen.js"

const rate = z
	.string()
	.default("5")
	.transform(Number)
	.pipe(z.number().positive())

await runDaemon({
	name: "standin-weight-store",
	description: "Stand-in of the rate-limited weight store",
	example: "standin-weight-store --listen 127.0.0.1:7001",
	specs: {
		listen: listenSpec,
		loadMs: {
			schema: integer(0, 600_000, 250),
			description: "Duration of one load"
		},
		maxInFlight: {
			schema: integer(1, 100_000, 8),
			description: "Loads in flight beyond which all slow down"
		},
		loadsPerSecond: {schema: rate, description: "Rate at which loads start"},
		seed: {
			schema: integer(0, 2_147_483_647, 1),
			description: "Seed of random failures"
		}
	},
	start: async ({listen, ...options}) =>
		closeOnDrain([await startWeightStore({...parseListen(listen), ...options})])
})
