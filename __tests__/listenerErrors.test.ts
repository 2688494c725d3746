import {Server} from "node:net"
import {afterEach, beforeEach, expect, it, vi} from "vitest"
import {CallerServer} from "../src/entry/callerServer.js"
import {createLoopbackIp} from "../src/gateway/__tests__/loopback.js"
import {LinkServer} from "../src/link/linkServer.js"
import {Counters} from "../src/program/counters.js"
import {startHealthServer} from "../src/program/health.js"
import {startProbeServer} from "../src/program/probeServer.js"
import {EngineFixture} from "../platform/__tests__/engineFixture.js"
import {
	controlPort,
	startGateway,
	startStore,
	stopFleet
} from "../platform/__tests__/gatewayFleet.js"

const agentPort = 9100
const callerPort = 9200
/** All servers that listened during a test. */
let servers: Server[] = []
const cleanUps: (() => unknown)[] = []

beforeEach(() => {
	servers = []
	const listen = Reflect.get(Server.prototype, "listen") as (
		...args: unknown[]
	) => Server
	vi.spyOn(Server.prototype, "listen").mockImplementation(function (
		this: Server,
		...args: unknown[]
	) {
		servers.push(this)
		return Reflect.apply(listen, this, args)
	})
})

afterEach(async () => {
	vi.restoreAllMocks()
	for (const cleanUp of cleanUps.splice(0)) await cleanUp()
	await stopFleet()
})

/**
 * Fails to accept connections, as without descriptors or memory. An `error` event
 * that nobody listens to throws, which ends a process.
 */
function failAccepts(address: string): void {
	const server = servers.find(other => formatAddress(other) === address)
	if (server === undefined) throw new Error(`nobody listens at ${address}`)
	for (const code of ["ENFILE", "ENOBUFS", "ECONNABORTED"])
		server.emit("error", new Error(`accept ${code}`))
	expect(server.listening).toBe(true)
}

function formatAddress(server: Server): string {
	const bound = server.address()
	if (bound === null || typeof bound === "string") return ""
	return `${bound.address}:${bound.port}`
}

// Guard against a process that ends because connections could not be accepted.
it("a gateway goes on when its listeners fail to accept", async () => {
	const ip = createLoopbackIp()
	const store = await startStore({version: 1, routes: [], services: []})
	const {lines} = await startGateway(ip, [`${ip}:${controlPort}`], store)
	for (const port of [callerPort, callerPort + 1, controlPort])
		failAccepts(`${ip}:${port}`)
	const logged = lines.filter(({message}) => message === "listen.failed")
	expect(logged.map(({address, error}) => [address, error])).toEqual([
		[`${ip}:${callerPort}`, "accept ENFILE"],
		[`${ip}:${callerPort + 1}`, "accept ENFILE"],
		[`${ip}:${controlPort}`, "accept ENFILE"]
	])
})

it("an agent goes on when its listener fails to accept", async () => {
	const fixture = await EngineFixture.start()
	cleanUps.push(() => fixture.stop())
	const ip = createLoopbackIp()
	await fixture.addAgent(fixture.engine, ip)
	failAccepts(`${ip}:${agentPort}`)
})

it("an entry goes on when its listener for callers fails to accept", async () => {
	const address = `${createLoopbackIp()}:${callerPort}`
	const warn = vi.fn()
	const server = await CallerServer.start({
		address,
		handler: {} as never,
		isReady: () => true,
		counters: new Counters({role: "entry", hostId: "e"}),
		log: {warn} as never,
		callerCert: "",
		callerKey: ""
	})
	cleanUps.push(() => server.drain(0, 0))
	failAccepts(address)
	expect(warn).toHaveBeenCalledOnce()
})

it("a link goes on when its listener fails to accept", async () => {
	const onError = vi.fn()
	const options = {address: `${createLoopbackIp()}:0`, handlers: {}, onError}
	const server = await LinkServer.start(options)
	cleanUps.push(() => {
		server.close()
	})
	failAccepts(server.address)
	expect(onError).toHaveBeenCalledTimes(3)
})

it("probes go on when their listeners fail to accept", async () => {
	const onError = vi.fn()
	const isReady = (): boolean => true
	const counters = new Counters({role: "endpoint", hostId: "e"})
	for (const start of [
		(address: string) =>
			startHealthServer(address, {isReady, counters, onError}),
		(address: string) => startProbeServer(address, {isReady, onError})
	]) {
		const address = `${createLoopbackIp()}:${callerPort}`
		const server = await start(address)
		cleanUps.push(() => server.close())
		failAccepts(address)
	}
	expect(onError).toHaveBeenCalledTimes(6)
})
