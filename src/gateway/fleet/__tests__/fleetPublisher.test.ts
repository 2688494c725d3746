import {once} from "node:events"
import * as grpc from "@grpc/grpc-js"
import {create} from "@bufbuild/protobuf"
import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import type {FleetConfig} from "../../../contract/fleet.js"
import {
	FollowRequestSchema,
	type FleetUpdate
} from "../../../contract/gen/fleet_pb.js"
import {fleetMethods} from "../../../link/methods.js"
import {openFollowStream} from "../../../link/fleetLink.js"
import {createSilentLog} from "../../../program/__tests__/silentLog.js"
import {createLoopbackIp} from "../../__tests__/loopback.js"
import {FleetPublisher} from "../fleetPublisher.js"
import {FleetState} from "../fleetState.js"
import {createEndpoint} from "./endpoints.js"
import {
	decodePublishedConfig,
	inflatePublishedConfig
} from "../publishedConfig.js"

function createConfig(version: number): FleetConfig {
	const limits = {
		maxHeaderBytes: 1,
		maxBodyBytes: 1,
		headerTimeoutMs: 1,
		idleTimeoutMs: 1
	}
	return {version, routes: [], pools: [], limits, members: undefined}
}

let address: string
let fleet: FleetState
let publisher: FleetPublisher
let isFresh: boolean
const closes: (() => void)[] = []

beforeEach(async () => {
	fleet = new FleetState(createSilentLog())
	address = `${createLoopbackIp()}:9203`
	isFresh = true
	publisher = new FleetPublisher({
		address,
		fleet,
		isFresh: () => isFresh,
		getViewAgeMs: () => 0,
		getProofAgeMs: () => 0,
		log: createSilentLog()
	})
	await publisher.start()
	fleet.applyConfig(createConfig(3), "store")
})

afterEach(() => {
	for (const close of closes.splice(0)) close()
	publisher.stop()
})

/** Subscribes, and lists what was received. */
function follow(configVersion?: number): FleetUpdate[] {
	const updates: FleetUpdate[] = []
	const open = openFollowStream(address, {gateway: "g", configVersion})
	open.stream.on("error", () => undefined)
	open.stream.on("data", (update: FleetUpdate) => updates.push(update))
	closes.push(() => {
		open.close()
	})
	return updates
}

function listVersions(updates: readonly FleetUpdate[]): number[] {
	return updates
		.filter(({compressedConfig}) => compressedConfig.length > 0)
		.map(({configVersion}) => configVersion)
}

async function waitForUpdates(
	updates: readonly FleetUpdate[],
	count: number
): Promise<void> {
	await vi.waitFor(
		() => {
			expect(updates.length).toBeGreaterThanOrEqual(count)
		},
		{timeout: 4000}
	)
}

describe("a gateway that publishes its configuration", () => {
	it("sends it compressed to a gateway that has none", async () => {
		const updates = follow()
		await waitForUpdates(updates, 1)
		expect(updates[0]?.config).toHaveLength(0)
		const bytes = inflatePublishedConfig(
			updates[0]?.compressedConfig ?? new Uint8Array()
		)
		expect(decodePublishedConfig(bytes)).toEqual(createConfig(3))
	})

	// Guards against copies that hold up heartbeats each time a source is connected.
	it("sends nothing that a gateway has, also once its view is fresh again", async () => {
		const updates = follow(3)
		isFresh = false
		await waitForUpdates(updates, 3)
		isFresh = true
		await vi.waitFor(
			() => {
				expect(updates.filter(({isWhole}) => isWhole)).toHaveLength(2)
			},
			{timeout: 4000}
		)
		expect(listVersions(updates)).toEqual([])
		fleet.applyConfig(createConfig(5), "store")
		await vi.waitFor(() => {
			expect(listVersions(updates)).toEqual([5])
		})
	})

	// Guards against changes that followers never hear of, as they ignore those of a view
	// that isn't fresh, and this one is fresh again before the next heartbeat.
	it("sends again what it sent while its view was not fresh for a moment", async () => {
		const updates = follow(3)
		await waitForUpdates(updates, 3)
		isFresh = false
		fleet.applyEndpoint(createEndpoint(2), 0)
		const listIds = (ofFresh: boolean): string[] =>
			updates
				.filter(update => update.isFresh === ofFresh)
				.flatMap(({endpoints}) => endpoints.map(({id}) => id))
		await vi.waitFor(
			() => {
				expect(listIds(false)).toEqual(["i-1"])
			},
			{interval: 5}
		)
		isFresh = true
		await vi.waitFor(
			() => {
				expect(listIds(true)).toEqual(["i-1"])
			},
			{timeout: 3000}
		)
	})

	// Guards against the removal of a live endpoint at a follower that saw it lapse
	// and now hears of the store's changes from this gateway alone.
	it("sends that an endpoint registered again after it lapsed", async () => {
		const endpoint = createEndpoint(4)
		fleet.applyEndpoint(endpoint, 0)
		const updates = follow(3)
		await waitForUpdates(updates, 1)
		fleet.applyRemoval("i-1", {era: 1, revision: 6}, 2000, 0)
		await waitForUpdates(updates, 3)
		fleet.applyEndpoint(createEndpoint(7), 0)
		await vi.waitFor(() => {
			const sent = updates.flatMap(({endpoints}) => endpoints)
			const revisions = sent.map(({revision}) => revision)
			expect([...new Set(revisions)]).toEqual([4, 7])
		})
	})

	// Guards against one endpoint that ends the updates of all gateways.
	it("goes on without an endpoint that no message can hold", async () => {
		const updates = follow(3)
		await waitForUpdates(updates, 1)
		fleet.applyEndpoint({...createEndpoint(4), seats: 2.5}, 0)
		fleet.applyEndpoint({...createEndpoint(5), id: "i-2"}, 0)
		await vi.waitFor(() => {
			const ids = updates.flatMap(({endpoints}) => endpoints.map(({id}) => id))
			expect(ids).toEqual(["i-2"])
		})
		const late = follow(3)
		await waitForUpdates(late, 1)
		expect(late[0]?.endpoints.map(({id}) => id)).toEqual(["i-2"])
	})

	it("sends it as it is to a gateway of an earlier build", async () => {
		const client = new grpc.Client(address, grpc.credentials.createInsecure())
		const {path, requestSerialize, responseDeserialize} = fleetMethods.follow
		const stream = client.makeServerStreamRequest(
			path,
			requestSerialize,
			responseDeserialize,
			create(FollowRequestSchema, {gateway: "g"})
		)
		stream.on("error", () => undefined)
		closes.push(() => {
			stream.cancel()
			client.close()
		})
		const [update] = (await once(stream, "data")) as [FleetUpdate]
		expect(update.compressedConfig).toHaveLength(0)
		expect(decodePublishedConfig(update.config)).toEqual(createConfig(3))
	})
})
