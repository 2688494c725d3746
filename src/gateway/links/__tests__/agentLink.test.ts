import {create} from "@bufbuild/protobuf"
import {afterEach, describe, expect, it, vi} from "vitest"
import {
	type AgentMessage,
	type GatewayMessage,
	AgentMessageSchema,
	AskSchema,
	EngineStateSchema,
	RefuseReason
} from "../../../contract/gen/grants_pb.js"
import {type GrantCall, startGrantServer} from "../../../link/fleetLink.js"
import {chooseLinkIntervals, grantLinkPace} from "../../../policy/index.js"
import {AgentLink} from "../agentLink.js"
import {createLoopbackIp} from "../../__tests__/loopback.js"

const cleanups: (() => void)[] = []

afterEach(() => {
	for (const cleanup of cleanups.splice(0)) cleanup()
})

interface Connection {
	link: AgentLink
	downs: string[]
	unsendable: (string | undefined)[]
	/** Number of states that arrived. */
	readonly states: number
	/** Number of connections that the agent accepted. */
	readonly calls: number
	/** Cases of the messages that the agent received. */
	received: (string | undefined)[]
	sendToGateway: (body: AgentMessage["body"]) => void
}

/** Starts an agent that sends the test's messages, and a link to it. */
async function connect(now: () => number, wallNow = now): Promise<Connection> {
	const address = `${createLoopbackIp()}:7000`
	let onAccept: (call: GrantCall) => void = () => undefined
	const accepted = new Promise<GrantCall>(resolve => {
		onAccept = resolve
	})
	let calls = 0
	const server = await startGrantServer({
		address,
		onError: err => {
			throw err
		},
		onCall: call => {
			calls += 1
			onAccept(call)
		}
	})
	const downs: string[] = []
	const unsendable: (string | undefined)[] = []
	let states = 0
	let resolveUp: () => void = () => undefined
	const linkUp = new Promise<void>(resolve => {
		resolveUp = resolve
	})
	const link = new AgentLink({
		address,
		gateway: "test",
		now,
		wallNow,
		getIntervals: () => chooseLinkIntervals(1, 0, grantLinkPace),
		getLimits: () => undefined,
		pool: "writers",
		getEngineId: () => "i-1",
		onState: () => (states += 1),
		onNotice: () => undefined,
		onPermit: () => undefined,
		onQuota: () => undefined,
		onOrigin: () => undefined,
		onForeign: () => undefined,
		onUp: resolveUp,
		onDown: reason => downs.push(reason),
		onUnsendable: kind => unsendable.push(kind),
		onUnhandled: (_kind, err) => {
			throw err
		}
	})
	cleanups.push(() => {
		link.close()
		server.forceShutdown()
	})
	const call = await accepted
	call.on("error", () => undefined)
	const received: (string | undefined)[] = []
	call.on("data", ({body}: GatewayMessage) => received.push(body.case))
	const sendToGateway = (body: AgentMessage["body"]): void => {
		call.write(create(AgentMessageSchema, {body}))
	}
	sendToGateway({case: "refuse", value: createRefusal("none")})
	await linkUp
	return {
		link,
		unsendable,
		downs,
		received,
		get states() {
			return states
		},
		get calls() {
			return calls
		},
		sendToGateway
	}
}

function createRefusal(
	key: string
): Extract<AgentMessage["body"], {case: "refuse"}>["value"] {
	const $typeName = "goldcrestloom.grants.v1.Refuse"
	return {
		$typeName,
		key,
		reason: RefuseReason.UNAVAILABLE,
		retryAfterMs: 0,
		expectedMs: 0
	}
}

function createGrant(
	key: string
): Extract<AgentMessage["body"], {case: "grant"}>["value"] {
	const $typeName = "goldcrestloom.grants.v1.Grant"
	return {
		$typeName,
		key,
		version: 1,
		engineId: "i-1",
		expectedMs: 0,
		engineBornAt: 0
	}
}

function ask(link: AgentLink, key: string): Promise<string> {
	return new Promise(resolve => {
		link.ask(create(AskSchema, {key}), {
			onGrant: () => {
				resolve("granted")
			},
			onRefuse: () => {
				resolve("refused")
			},
			onLost: () => {
				resolve("lost")
			}
		})
	})
}

describe("AgentLink", () => {
	// Guards against one request that ends the link for all others.
	it("fails an ask that can't be encoded alone", async () => {
		const {link, unsendable, downs, received, sendToGateway} = await connect(
			() => 0
		)
		const odd = new Promise(resolve => {
			link.ask(create(AskSchema, {key: "odd", promptTokens: 1e300}), {
				onGrant: () => undefined,
				onRefuse: () => undefined,
				onLost: () => {
					resolve("lost")
				}
			})
		})
		expect(await odd).toBe("lost")
		expect(unsendable).toEqual(["ask"])
		const sound = ask(link, "sound")
		await vi.waitFor(() => {
			expect(received).toContain("ask")
		})
		sendToGateway({case: "grant", value: createGrant("sound")})
		expect(await sound).toBe("granted")
		expect(downs).toEqual([])
	})

	it("connects again at once after a pause of this process", async () => {
		let time = 0
		const connection = await connect(() => time)
		time = 5000
		connection.link.tick()
		expect(connection.downs).toEqual(["this process was paused"])
		await vi.waitFor(() => {
			expect(connection.calls).toBe(2)
		})
	})

	it("passes a grant to the request that asked for it", async () => {
		const {link, sendToGateway} = await connect(() => 0)
		const answer = ask(link, "r1")
		sendToGateway({case: "grant", value: createGrant("r1")})
		expect(await answer).toBe("granted")
	})

	it("discards a grant that arrives after a pause of this process", async () => {
		let time = 0
		const {link, downs, sendToGateway} = await connect(() => time)
		const answer = ask(link, "r1")
		// Longer than the allowed gap between sends: the agent may have
		// disconnected this gateway and cancelled its grants.
		time = 1900
		sendToGateway({case: "grant", value: createGrant("r1")})
		expect(await answer).toBe("lost")
		expect(downs).toEqual(["this process was paused"])
	})

	it("discards a grant after a suspension that the monotonic clock misses", async () => {
		let wallTime = 0
		const {link, received, sendToGateway} = await connect(
			() => 0,
			() => wallTime
		)
		const answer = ask(link, "r1")
		wallTime = 3000
		sendToGateway({case: "grant", value: createGrant("r1")})
		expect(await answer).toBe("lost")
		await vi.waitFor(() => {
			expect(received).toContain("ended")
		})
		const next = ask(link, "r2")
		sendToGateway({case: "grant", value: createGrant("r2")})
		expect(await next).toBe("granted")
	})

	it("sends the same hello only once on a stream", async () => {
		const {link, received} = await connect(() => 0)
		for (let n = 0; n < 5; n++) link.sendHello()
		link.notifyStarted("r1")
		await vi.waitFor(() => {
			expect(received).toContain("started")
		})
		expect(received.filter(kind => kind === "hello")).toHaveLength(1)
	})

	it("fails when an agent sends nothing on an open connection", async () => {
		let time = 0
		const {link, downs} = await connect(() => time)
		const answer = ask(link, "r1")
		for (time = 500; time <= 2500; time += 500) link.tick()
		expect(await answer).toBe("lost")
		expect(downs).toEqual(["silent"])
	})

	it("reports a grant request as lost after a pause without heartbeats", async () => {
		let time = 0
		const {link} = await connect(() => time)
		time = 1900
		expect(await ask(link, "r1")).toBe("lost")
	})

	describe("without requests, to an agent that goes by its pace", () => {
		async function connectPaced(now: () => number): Promise<Connection> {
			const connection = await connect(now)
			const value = create(EngineStateSchema, {pacesHeartbeats: true})
			connection.sendToGateway({case: "state", value})
			await vi.waitFor(() => {
				expect(connection.states).toBe(1)
			})
			return connection
		}

		it("allows a pause of less than 2.5 of its heartbeats", async () => {
			let time = 0
			const {link, downs} = await connectPaced(() => time)
			time = 9900
			void ask(link, "r1")
			expect(downs).toEqual([])
		})

		it("fails after a longer pause", async () => {
			let time = 0
			const {link, downs} = await connectPaced(() => time)
			time = 10_100
			expect(await ask(link, "r1")).toBe("lost")
			expect(downs).toEqual(["this process was paused"])
		})

		it("fails soon after an ask to an agent that says nothing", async () => {
			let time = 0
			const {link, downs} = await connectPaced(() => time)
			time = 1800
			link.tick()
			const answer = ask(link, "r1")
			time += 1000
			link.tick()
			expect(downs).toEqual([])
			time += 200
			link.tick()
			expect(await answer).toBe("lost")
		})
	})
})
