import {describe, expect, it} from "vitest"
import winston from "winston"
import {EndpointState, type FleetEndpoint} from "../../../contract/fleet.js"
import type {BuildRecord} from "../../../policy/streams/index.js"
import {DecisionLog} from "../../../program/decisionLog.js"
import {sleep} from "../../../utils/common.js"
import {FleetState} from "../../fleet/fleetState.js"
import {BuildRecorder} from "../buildRecorder.js"
import {BuildStore} from "../buildStore.js"

/** Rejects writes to some pools, and keeps those to the others. */
class PartialBuilds extends BuildStore {
	readonly era = 1
	readonly records = new Map<string, BuildRecord>()
	readonly rejected: string[] = []

	constructor(private readonly rejectedPools: readonly string[]) {
		super()
	}

	override readAll(): Promise<Map<string, BuildRecord>> {
		return Promise.resolve(new Map(this.records))
	}

	override write(
		pool: string,
		builds: readonly string[],
		expected: number
	): Promise<BuildRecord | undefined> {
		if (this.rejectedPools.includes(pool)) {
			this.rejected.push(pool)
			return Promise.reject(new Error("status 400"))
		}
		const revision = this.records.get(pool)?.revision ?? 0
		if (revision !== expected) return Promise.resolve(undefined)
		const record = {builds, era: this.era, revision: revision + 1}
		this.records.set(pool, record)
		return Promise.resolve(record)
	}
}

const config = {
	version: 1,
	routes: [],
	pools: ["refused", "writers"].map(name => ({
		name,
		maxConnections: 1,
		engine: undefined
	})),
	limits: {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1
	},
	members: undefined
}

function register(fleet: FleetState, pool: string, build: string): void {
	const endpoint: FleetEndpoint = {
		id: `${pool}-${build}`,
		pool,
		address: "127.0.0.1:9",
		failureDomain: "a",
		seats: 1,
		state: EndpointState.Ready,
		bornAt: 1,
		build,
		era: 1,
		revision: 1,
		residents: []
	}
	fleet.applyEndpoint(endpoint, 0)
}

async function record(
	store: PartialBuilds,
	pools: readonly (readonly [pool: string, build: string])[]
): Promise<void> {
	const log = new DecisionLog({
		role: "gateway",
		host: "gateway-1",
		// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
		transport: new winston.transports.Console({silent: true})
	})
	const fleet = new FleetState(log)
	fleet.applyConfig(config, "test")
	for (const [pool, build] of pools) register(fleet, pool, build)
	const recorder = new BuildRecorder({
		fleet,
		store,
		plan: {forgetAfterMs: 60_000, isFirstStart: true},
		isWriter: () => true,
		log,
		now: () => 0
	})
	for (let n = 0; n < 4; n += 1) {
		recorder.tick()
		await sleep(0)
	}
}

// Guards against a pool whose builds are never recorded, because the store rejects the
// record of another one: a gateway that starts later then knows of too few builds.
describe("the record of builds", () => {
	it("is written for a pool after the store has rejected another one's", async () => {
		const store = new PartialBuilds(["refused"])
		await record(store, [
			["refused", "v1"],
			["writers", "v1"],
			["writers", "v2"]
		])
		expect(store.records.get("writers")?.builds).toEqual(["v1", "v2"])
	})

	it("isn't written for a pool that no configuration names", async () => {
		const store = new PartialBuilds([""])
		await record(store, [
			["", "v1"],
			["x".repeat(300), "v1"],
			["writers", "v1"]
		])
		expect(store.rejected).toEqual([])
		expect([...store.records.keys()]).toEqual(["writers"])
	})
})
