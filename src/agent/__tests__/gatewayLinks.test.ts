import {EventEmitter} from "node:events"
import {describe, expect, it} from "vitest"
import {create} from "@bufbuild/protobuf"
import {
	type AgentMessage,
	type EngineState,
	PermitAnswerSchema
} from "../../contract/gen/grants_pb.js"
import type {GrantCall} from "../../link/fleetLink.js"
import type {GrantSchedulerView} from "../../policy/grants/index.js"
import {GatewayLinks, type Residency} from "../gatewayLinks.js"

class FakeCall extends EventEmitter {
	readonly states: EngineState[] = []
	readonly cases: (string | undefined)[] = []
	isEnded = false

	write({body}: AgentMessage): void {
		this.cases.push(body.case)
		if (body.case === "state") this.states.push(body.value)
	}

	end(): void {
		this.isEnded = true
	}
}

const view: GrantSchedulerView = {
	isUsable: true,
	waitMs: 0,
	tokensPerSecond: 20_000,
	freeSlots: 3,
	slotStepMs: 200,
	running: 0
}

interface Fixture {
	links: GatewayLinks
	clock: {now: number}
	lost: string[]
	unsendable: (string | undefined)[]
	connect: () => FakeCall
	publish: (resident: string[], change?: Partial<Residency>) => void
}

function createLinks(): Fixture {
	const clock = {now: 0}
	const lost: string[] = []
	const unsendable: (string | undefined)[] = []
	const links = new GatewayLinks({
		now: () => clock.now,
		onMessage: () => undefined,
		onDisconnect: (_owner, reason) => lost.push(reason),
		onUnsendable: kind => unsendable.push(kind)
	})
	return {
		links,
		clock,
		lost,
		unsendable,
		connect: () => {
			const call = new FakeCall()
			links.accept(call as unknown as GrantCall)
			return call
		},
		publish: (resident, change = {}) => {
			const residency = {resident, recent: ["m/old"], restarts: 0, ...change}
			links.publishState(view, residency)
		}
	}
}

const pace = {stateIntervalMs: 0, idleIntervalMs: 0, takesChanges: true}

describe("GatewayLinks", () => {
	// Guards against one message that ends the link for all requests on it.
	it("sends no message that can't be encoded, and goes on", () => {
		const {links, connect, unsendable, lost} = createLinks()
		const call = connect()
		const value = create(PermitAnswerSchema, {key: "k", waitMs: 2.5})
		links.send("g1", {case: "permit", value})
		expect(unsendable).toEqual(["permit"])
		links.send("g1", {case: "heartbeat", value: true})
		expect(call.cases).toEqual(["heartbeat"])
		expect(lost).toEqual([])
	})

	it("sends the whole residency first, then only what changed", () => {
		const {links, clock, connect, publish} = createLinks()
		const call = connect()
		links.setPace("g1", pace)
		publish(["m/a", "m/b"])
		clock.now = 1000
		publish(["m/b", "m/c"])
		expect(call.states).toMatchObject([
			{hasResidency: true, resident: ["m/a", "m/b"], recent: ["m/old"]},
			{hasResidency: false, loaded: ["m/c"], evicted: ["m/a"], resident: []}
		])
	})

	it("sends the whole residency again after a restart of the engine", () => {
		const {links, clock, connect, publish} = createLinks()
		const call = connect()
		links.setPace("g1", pace)
		publish(["m/a"])
		clock.now = 1000
		publish([], {restarts: 1, recent: []})
		expect(call.states.at(-1)).toMatchObject({hasResidency: true, recent: []})
	})

	it("sends whole residencies to a gateway that takes no changes", () => {
		const {clock, connect, publish} = createLinks()
		const call = connect()
		publish(["m/a"])
		clock.now = 1000
		publish(["m/b"])
		expect(call.states.at(-1)).toMatchObject({
			hasResidency: true,
			resident: ["m/b"]
		})
	})

	it("sends changed states no faster than the gateway wants them", () => {
		const {links, clock, connect, publish} = createLinks()
		const call = connect()
		links.setPace("g1", {...pace, stateIntervalMs: 500})
		for (clock.now = 0; clock.now < 2000; clock.now += 50)
			publish([`m/${clock.now}`])
		expect(call.states).toHaveLength(4)
	})

	it("sends changed states more slowly to many gateways", () => {
		const {clock, connect, publish} = createLinks()
		const calls = Array.from({length: 100}, connect)
		for (clock.now = 0; clock.now < 1600; clock.now += 50)
			publish([`m/${clock.now}`])
		expect(calls[0]?.states).toHaveLength(2)
	})

	it("waits for a slow gateway by the heartbeat that it states", () => {
		const {links, clock, lost, connect, publish} = createLinks()
		connect()
		connect()
		links.setPace("g2", {...pace, idleIntervalMs: 1200})
		clock.now = 2500
		publish([])
		expect(lost).toEqual(["silent"])
		clock.now = 4100
		publish([])
		expect(lost).toEqual(["silent", "silent"])
	})
})
