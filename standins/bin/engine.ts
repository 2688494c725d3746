#!/usr/bin/env node
/** Runs engine stand-ins on consecutive ports. */
import {integer, kinds, runDaemon} from "../../src/program/index.js"
import {startEngine} from "../engine/index.js"
import {closeOnDrain, listenSpec, parseListen} from "./listen.js"

await runDaemon({
	name: "standin-engine",
	description: "Stand-in of model engines, one on each of --count ports",
	example:
		"standin-engine --listen 127.0.0.1:7100 --count 4 --weight-store-url http://127.0.0.1:7001",
	specs: {
		listen: listenSpec,
		count: {schema: integer(1, 1_000, 1), description: "Number of engines"},
		weightStoreUrl: {schema: kinds.url, description: "URL of the weight store"},
		checksOrders: {
			schema: kinds.boolean,
			description: "Refuse orders with an old fencing number"
		},
		slots: {schema: integer(1, 10_000, 8), description: "Adapter slots"},
		seats: {schema: integer(1, 10_000, 8), description: "Sequences at a time"},
		maxWaiting: {
			schema: integer(0, 100_000, 64),
			description: "Sequences that may wait"
		},
		msPerToken: {
			schema: integer(1, 60_000, 5),
			description: "Duration of a decode step"
		},
		loadLagMs: {
			schema: integer(0, 600_000, 500),
			description: "Lag of the reported load"
		}
	},
	start: async ({listen, count, ...options}) => {
		const {ip, port} = parseListen(listen)
		const engines = Array.from({length: count}, (_, index) =>
			startEngine({ip, port: port + index, ...options})
		)
		return closeOnDrain(await Promise.all(engines))
	}
})
