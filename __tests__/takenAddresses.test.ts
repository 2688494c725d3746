/** Guards against an entry or endpoint that ends until an address of it is free. */
import {createServer, type Server} from "node:net"
import {join} from "node:path"
import {afterEach, expect, it, vi} from "vitest"
import {ChildProcess} from "../bench/deployment/childProcess.js"
import {defaultDistDir} from "../bench/deployment/index.js"
import {createLoopbackIp} from "../src/gateway/__tests__/loopback.js"
import {LinkClient} from "../src/link/linkClient.js"
import {splitAddress} from "../src/utils/common.js"

const port = 7100
const holders: Server[] = []
const children: ChildProcess[] = []

afterEach(async () => {
	for (const holder of holders.splice(0)) holder.close()
	for (const child of children.splice(0)) await child.kill()
})

const programs = [
	{
		program: "entry",
		createFlags: (address: string) => ({listen: address, "lame-duck-ms": "0"})
	},
	{
		program: "endpoint",
		createFlags: (address: string) => ({
			health: address,
			pool: "p",
			workers: "http://127.0.0.1:1",
			entries: "127.0.0.1:1"
		})
	}
] as const

it.each(programs)(
	"$program: answers once the address is free",
	async ({program, createFlags}) => {
		const address = `${createLoopbackIp()}:${port}`
		const holder = await hold(address)
		const child = start(program, createFlags(address))
		await waitForLine(child, "listen.waiting")
		await new Promise(resolve => holder.close(resolve))
		await waitForLine(child, "listen.bound")
		const res = await fetch(`http://${address}/healthz`)
		expect(res.status).toBe(200)
	}
)

it.each(programs)(
	"$program: ends with code 0 when it is asked to while it waits",
	async ({program, createFlags}) => {
		const address = `${createLoopbackIp()}:${port}`
		const link = `${createLoopbackIp()}:${port}`
		await hold(address)
		const child = start(program, {...createFlags(address), link})
		await waitForLine(child, "listen.waiting")
		await waitForStart(link)
		expect(await child.terminate()).toEqual({code: 0, signal: null})
	}
)

async function hold(address: string): Promise<Server> {
	const holder = createServer(socket => socket.destroy())
	holders.push(holder)
	await new Promise<void>(resolve =>
		holder.listen(splitAddress(address), resolve)
	)
	return holder
}

function start(program: string, flags: Record<string, string>): ChildProcess {
	const all = {
		id: `${program}-1`,
		"failure-domain": "north",
		platform: "http://127.0.0.1:1",
		link: `${createLoopbackIp()}:${port}`,
		...flags
	}
	const child = new ChildProcess({
		name: program,
		program: join(defaultDistDir(), `src/bin/${program}.js`),
		args: Object.entries(all).flatMap(([name, value]) => [`--${name}`, value])
	})
	children.push(child)
	child.start()
	return child
}

/** A process that waits answers on its link once it has its handler for SIGTERM. */
async function waitForStart(link: string): Promise<void> {
	const client = new LinkClient({address: link})
	await client.status()
	client.close()
}

async function waitForLine(child: ChildProcess, event: string): Promise<void> {
	await vi.waitUntil(() => child.stderr.includes(event) || !child.isRunning, {
		timeout: 20_000
	})
	expect(child.unaskedEnds).toEqual([])
}
