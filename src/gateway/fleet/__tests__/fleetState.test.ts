import {Writable} from "node:stream"
import winston from "winston"
import {afterEach, describe, expect, it, vi} from "vitest"
import {
	EndpointState,
	type FleetConfig,
	type FleetEndpoint
} from "../../../contract/fleet.js"
import type {ConfirmAnswer} from "../../../contract/gen/fleet_pb.js"
import {withholdMs} from "../../../policy/registrations/index.js"
import {DecisionLog} from "../../../program/decisionLog.js"
import {FleetFollower} from "../fleetFollower.js"
import {FleetPublisher} from "../fleetPublisher.js"
import {FleetState} from "../fleetState.js"
import * as publishedConfig from "../publishedConfig.js"
import {createLoopbackIp} from "../../__tests__/loopback.js"

vi.mock("../publishedConfig.js", {spy: true})

const maxViewAgeMs = 1500

function createLog(): DecisionLog {
	const stream = new Writable({
		write: (_chunk, _encoding, done) => {
			done()
		}
	})
	const transport = new winston.transports.Stream({stream})
	// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
	return new DecisionLog({role: "test", host: "h", transport})
}

function createConfig(version: number): FleetConfig {
	const limits = {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1
	}
	return {version, routes: [], pools: [], limits, members: undefined}
}

function createEndpoint(
	id: string,
	revision: number,
	state = EndpointState.Ready,
	era = 1
): FleetEndpoint {
	return {
		id,
		pool: "desk",
		address: "10.0.0.1:80",
		failureDomain: "a",
		seats: 6,
		state,
		bornAt: 1,
		build: "v1",
		era,
		revision,
		residents: []
	}
}

/** As of a store that was not away. */
const never = Number.NEGATIVE_INFINITY

function createAddresses(): string[] {
	return [1, 2].map(() => `${createLoopbackIp()}:9202`)
}

describe("FleetState", () => {
	it("ignores configurations and versions older than the known ones", () => {
		const fleet = new FleetState(createLog())
		expect(fleet.applyConfig(createConfig(5), "store")).toBe(true)
		expect(fleet.applyConfig(createConfig(4), "peer")).toBe(false)
		expect(fleet.config?.version).toBe(5)
		fleet.applyVersion({model: "m", adapter: "a", version: 3})
		fleet.applyVersion({model: "m", adapter: "a", version: 2})
		expect(fleet.getMinVersion("m", "a")).toBe(3)
	})

	it("knows since when a version is announced, unless it was found in a list", () => {
		const fleet = new FleetState(createLog())
		fleet.applyVersion({model: "m", adapter: "a", version: 3}, 100)
		expect(fleet.getVersionAgeMs("m", "a", 700)).toBe(600)
		fleet.applyVersion({model: "m", adapter: "a", version: 3}, 600)
		expect(fleet.getVersionAgeMs("m", "a", 700)).toBe(600)
		fleet.applyVersion({model: "m", adapter: "a", version: 4})
		expect(fleet.getVersionAgeMs("m", "a", 700)).toBe(Infinity)
	})

	it("ignores older revisions of an endpoint, also after its removal", () => {
		const fleet = new FleetState(createLog())
		fleet.applyEndpoint(createEndpoint("i-1", 4, EndpointState.Draining), 0)
		fleet.applyEndpoint(createEndpoint("i-1", 3), 0)
		expect(fleet.listReady("desk")).toEqual([])
		fleet.applyRemoval("i-1", {era: 1, revision: 6}, never, 0)
		fleet.applyEndpoint(createEndpoint("i-1", 5), 0)
		expect(fleet.listEndpoints()).toEqual([])
		fleet.applyEndpoint(createEndpoint("i-1", 7), 0)
		fleet.applyRemoval("i-1", {era: 1, revision: 6}, never, 0)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("drops a list of an earlier store era", () => {
		const fleet = new FleetState(createLog())
		const ready = createEndpoint("i-1", 4, EndpointState.Ready, 2)
		fleet.replaceEndpoints([ready], {era: 2, revision: 4}, never, 0)
		fleet.replaceEndpoints([], {era: 1, revision: 90}, never, 0)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("uses a removed endpoint of a copy once it stays registered", () => {
		const fleet = new FleetState(createLog())
		fleet.applyEndpoint(createEndpoint("i-1", 4), 0)
		fleet.applyRemoval("i-1", {era: 1, revision: 9}, never, 0)
		const copied = createEndpoint("i-1", 4, EndpointState.Ready, 2)
		fleet.replaceEndpoints([copied], {era: 2, revision: 5}, never, 1000)
		fleet.settleRegistrations(1000 + withholdMs - 1)
		expect(fleet.listReady("desk")).toEqual([])
		fleet.settleRegistrations(1000 + withholdMs)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("applies published changes as one, with the birth of what is gone", () => {
		const fleet = new FleetState(createLog())
		let notices = 0
		fleet.addListener({
			onEndpoints: () => (notices += 1)
		})
		const ids = ["i-1", "i-2", "i-3"]
		const gone = {id: "i-9", bornAt: 1, era: 1, revision: 9}
		const listed = ids.map(id => createEndpoint(id, 4))
		fleet.applyPublished(listed, [gone], 0)
		expect(notices).toBe(1)
		expect(fleet.listReady("desk")).toHaveLength(3)
		const copied = createEndpoint("i-9", 4, EndpointState.Ready, 2)
		fleet.applyPublished([copied], [], 0)
		expect(fleet.getEndpoint("i-9")).toBeUndefined()
		fleet.applyPublished([{...copied, bornAt: 2}], [], 0)
		expect(fleet.getEndpoint("i-9")).toBeDefined()
	})

	it("uses a new incarnation of a removed endpoint at once", () => {
		const fleet = new FleetState(createLog())
		fleet.applyEndpoint(createEndpoint("i-1", 4), 0)
		fleet.applyRemoval("i-1", {era: 1, revision: 9}, never, 0)
		const reborn = createEndpoint("i-1", 4, EndpointState.Ready, 2)
		fleet.applyEndpoint({...reborn, bornAt: 2}, 0)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("gives no requests to an endpoint that stated that it is leaving", () => {
		const fleet = new FleetState(createLog())
		fleet.applyEndpoint(createEndpoint("i-1", 4), 0)
		fleet.markLeaving("i-1", 1, "answer")
		fleet.applyEndpoint(createEndpoint("i-1", 5), 0)
		const list = [createEndpoint("i-1", 6)]
		fleet.replaceEndpoints(list, {era: 1, revision: 6}, never, 0)
		expect(fleet.listReady("desk")).toEqual([])
		fleet.applyEndpoint({...createEndpoint("i-1", 7), bornAt: 2}, 0)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("ignores the leaving of another incarnation", () => {
		const fleet = new FleetState(createLog())
		fleet.applyEndpoint(createEndpoint("i-1", 4), 0)
		expect(fleet.markLeaving("i-1", 3, "answer")).toBe(false)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("finds the route with the longest matching path prefix", () => {
		const fleet = new FleetState(createLog())
		const [short, long] = ["/a/", "/a/b/"].map(pathPrefix => ({
			name: pathPrefix,
			host: "h",
			pathPrefix
		}))
		const routes = [short, long] as unknown as FleetConfig["routes"]
		fleet.applyConfig({...createConfig(1), routes}, "test")
		expect(fleet.findRoute("h", "/a/b/c")?.name).toBe("/a/b/")
		expect(fleet.findRoute("h", "/a/x")?.name).toBe("/a/")
		expect(fleet.findRoute("h", "/b/")).toBeUndefined()
	})
})

describe("FleetFollower", () => {
	const stops: (() => void)[] = []

	afterEach(() => {
		for (const stop of stops.splice(0)) stop()
	})

	async function startSource(address: string): Promise<{
		fleet: FleetState
		health: {isFresh: boolean; proofAgeMs: number}
		stop: () => void
	}> {
		const fleet = new FleetState(createLog())
		const health = {isFresh: true, proofAgeMs: Infinity}
		const publisher = new FleetPublisher({
			address,
			fleet,
			isFresh: () => health.isFresh,
			getViewAgeMs: () => 0,
			getProofAgeMs: () => health.proofAgeMs,
			log: createLog()
		})
		await publisher.start()
		const stop = (): void => {
			publisher.stop()
		}
		stops.push(stop)
		return {fleet, health, stop}
	}

	function follow(addresses: readonly string[]): {
		fleet: FleetState
		follower: FleetFollower
	} {
		const fleet = new FleetState(createLog())
		const follower = new FleetFollower({
			gateway: "g",
			sources: addresses,
			fleet,
			log: createLog(),
			relies: true,
			maxViewAgeMs,
			now: () => performance.now()
		})
		const timer = setInterval(() => {
			follower.tick()
		}, 50)
		stops.push(() => {
			clearInterval(timer)
			follower.stop()
		})
		return {fleet, follower}
	}

	it("receives a snapshot on connection, then each change", async () => {
		const addresses = createAddresses()
		const [first, second] = await Promise.all(addresses.map(startSource))
		first?.fleet.applyConfig(createConfig(3), "store")
		first?.fleet.applyEndpoint(createEndpoint("i-1", 2), 0)
		const {fleet, follower} = follow(addresses)
		await vi.waitFor(() => {
			expect(fleet.config?.version).toBe(3)
			expect(fleet.listReady("desk")).toHaveLength(1)
			expect(follower.isCovered).toBe(true)
		})
		second?.fleet.applyConfig(createConfig(4), "store")
		const drained = createEndpoint("i-1", 5, EndpointState.Draining)
		second?.fleet.applyEndpoint(drained, 0)
		second?.fleet.applyVersion({model: "m", adapter: "a", version: 2})
		await vi.waitFor(() => {
			expect(fleet.config?.version).toBe(4)
			expect(fleet.listReady("desk")).toHaveLength(0)
			expect(fleet.getMinVersion("m", "a")).toBe(2)
		})
	})

	it("learns that an engine restarted with another build", async () => {
		const addresses = createAddresses()
		const [first] = await Promise.all(addresses.map(startSource))
		first?.fleet.applyEndpoint(createEndpoint("i-1", 2), 0)
		const {fleet} = follow(addresses)
		await vi.waitFor(() => {
			expect(fleet.getEndpoint("i-1")?.build).toBe("v1")
		})
		const reborn = {...createEndpoint("i-1", 5), bornAt: 2, build: "v1.1"}
		first?.fleet.applyEndpoint(reborn, 0)
		await vi.waitFor(() => {
			expect(fleet.getEndpoint("i-1")?.build).toBe("v1.1")
		})
	})

	it("gets a change that a source published while its view was stale", async () => {
		const addresses = createAddresses()
		const [first, second] = await Promise.all(addresses.map(startSource))
		if (first === undefined || second === undefined)
			throw new Error("no source")
		const sources = [first, second]
		for (const source of sources)
			source.fleet.applyEndpoint(createEndpoint("i-1", 2), 0)
		const {fleet} = follow(addresses)
		await vi.waitFor(() => {
			expect(fleet.listReady("desk")).toHaveLength(1)
		})
		for (const source of sources) {
			source.health.isFresh = false
			source.fleet.applyRemoval("i-1", {era: 1, revision: 5}, never, 0)
		}
		await new Promise(resolve => setTimeout(resolve, 700))
		for (const source of sources) source.health.isFresh = true
		await vi.waitFor(
			() => {
				expect(fleet.listEndpoints()).toEqual([])
			},
			{timeout: 3000}
		)
	})

	it("ignores a source that is in an earlier store era", async () => {
		const addresses = createAddresses()
		const [first, second] = await Promise.all(addresses.map(startSource))
		first?.fleet.replaceEndpoints(
			[createEndpoint("i-1", 2, EndpointState.Ready, 2)],
			{era: 2, revision: 2},
			never,
			0
		)
		second?.fleet.applyEndpoint(createEndpoint("i-1", 90), 0)
		const {fleet, follower} = follow(addresses)
		await vi.waitFor(() => {
			expect(fleet.getEndpoint("i-1")?.era).toBe(2)
		})
		second?.fleet.applyRemoval("i-1", {era: 1, revision: 95}, never, 0)
		await new Promise(resolve => setTimeout(resolve, 700))
		expect(fleet.listReady("desk")).toHaveLength(1)
		expect(follower.isCovered).toBe(false)
	})

	it("uses no configuration of a source that doesn't know Members", async () => {
		const addresses = createAddresses()
		const [first] = await Promise.all(addresses.map(startSource))
		const {fleet, follower} = follow(addresses)
		await vi.waitFor(() => {
			expect(follower.isCovered).toBe(true)
		})
		vi.spyOn(publishedConfig, "encodePublishedConfig").mockImplementationOnce(
			config => Buffer.from(JSON.stringify(config))
		)
		first?.fleet.applyConfig(createConfig(3), "store")
		await vi.waitFor(() => {
			expect(follower.isCovered).toBe(false)
		})
		expect(fleet.config).toBeUndefined()
	})

	it("asks a source for the age of its proof", async () => {
		const addresses = createAddresses()
		const [first] = await Promise.all(addresses.map(startSource))
		const {follower} = follow(addresses)
		const [address = ""] = addresses
		const ask = (): Promise<ConfirmAnswer | undefined> =>
			new Promise(resolve => {
				follower.confirm(address, resolve)
			})
		await vi.waitFor(() => {
			expect(follower.listConnected()).toEqual(addresses)
		})
		expect(await ask()).toMatchObject({hasProof: false})
		if (first === undefined) throw new Error("no source")
		first.fleet.applyConfig(createConfig(3), "store")
		expect(await ask()).toMatchObject({hasProof: false})
		first.health.proofAgeMs = 700
		expect(await ask()).toMatchObject({
			hasProof: true,
			version: 3,
			ageMs: 700
		})
		first.stop()
		expect(await ask()).toBeUndefined()
	})

	it("is not covered while one of its two sources is stale or stopped", async () => {
		const addresses = createAddresses()
		const [first, second] = await Promise.all(addresses.map(startSource))
		const {follower} = follow(addresses)
		await vi.waitFor(() => {
			expect(follower.isCovered).toBe(true)
		})
		if (first !== undefined) first.health.isFresh = false
		await vi.waitFor(() => {
			expect(follower.isCovered).toBe(false)
		})
		if (first !== undefined) first.health.isFresh = true
		await vi.waitFor(
			() => {
				expect(follower.isCovered).toBe(true)
			},
			{timeout: 3000}
		)
		second?.stop()
		await vi.waitFor(
			() => {
				expect(follower.isCovered).toBe(false)
			},
			{timeout: 3000}
		)
	})
})
