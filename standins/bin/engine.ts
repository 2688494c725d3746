#!/usr/bin/env node
/** Runs engine stand-ins on consecutive ports. */
import {
	integerSchema,
	settingSchemas,
	runDaemon
} from "../../src/program/index.js"
import {startEngine} from "../engine/index.js"
import {createDrainableService, listenSetting, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-engine",
	description: "Stand-in for model engines, one on each of --count ports",
	example:
		"standin-engine --listen 127.0.0.1:7100 --count 4 --weight-store-url http://127.0.0.1:7001",
	specs: {
		listen: listenSetting,
		count: {
			schema: integerSchema(1, 1_000, 1),
			description: "Number of engines"
		},
		weightStoreUrl: {
			schema: settingSchemas.url,
			description: "URL of the weight store"
		},
		checksOrders: {
			schema: settingSchemas.boolean,
			description:
				"Reject loads and unloads without a fencing token or with a stale one"
		},
		slots: {schema: integerSchema(1, 10_000, 8), description: "Adapter slots"},
		seats: {
			schema: integerSchema(1, 10_000, 8),
			description: "Sequences decoded at once"
		},
		maxWaiting: {
			schema: integerSchema(0, 100_000, 64),
			description: "Sequences that may wait for a seat"
		},
		msPerToken: {
			schema: integerSchema(1, 60_000, 5),
			description: "Duration of a decode step of one sequence, in ms"
		},
		loadLagMs: {
			schema: integerSchema(0, 600_000, 500),
			description: "Age of the reported running and waiting counts, in ms"
		}
	},
	start: async ({listen, count, ...options}) => {
		const {ip, port} = parseListen(listen)
		const engines = Array.from({length: count}, (_, index) =>
			startEngine({ip, port: port + index, ...options})
		)
		return createDrainableService(await Promise.all(engines))
	}
})
