import {EventEmitter} from "node:events"
import type {ServerResponse} from "node:http"
import {describe, expect, it} from "vitest"
import {CallerBuffers} from "../callerBuffers.js"
import {CallerOutput} from "../callerOutput.js"
import {GatewayMetrics} from "../../gatewayMetrics.js"

/** A response whose writes end when the test says so. */
class ScriptedResponse extends EventEmitter {
	readonly written: Buffer[] = []
	readonly destroyed = false
	isEnded = false
	private readonly waiting: (() => void)[] = []

	write(bytes: Buffer, onWritten: () => void): boolean {
		this.written.push(bytes)
		this.waiting.push(onWritten)
		return true
	}

	end(): void {
		this.isEnded = true
	}

	flush(): void {
		for (const onWritten of this.waiting.splice(0)) onWritten()
	}
}

function createOutput(maxBytes: number): {
	res: ScriptedResponse
	output: CallerOutput
	held: () => number
	rooms: () => number
} {
	const metrics = new GatewayMetrics()
	const callerBuffers = new CallerBuffers({metrics, now: () => 0})
	const buffers = callerBuffers.open(() => undefined)
	const res = new ScriptedResponse()
	let rooms = 0
	const output = new CallerOutput({
		res: res as unknown as ServerResponse,
		buffers,
		maxBytes,
		onRoom: () => (rooms += 1)
	})
	const held = (): number => callerBuffers.totalBytes
	return {res, output, held, rooms: () => rooms}
}

describe("CallerOutput", () => {
	it("hands large bodies over piece by piece, each of which is freed alone", () => {
		const {res, output, held} = createOutput(2 ** 20)
		const body = Buffer.from("0123456789".repeat(100_000))
		output.write(body)
		output.end()
		expect(res.written).toHaveLength(1)
		for (let n = 0; n < 20; n++) {
			expect(res.isEnded).toBe(res.written.length === 16)
			res.flush()
		}
		expect(res.isEnded).toBe(true)
		expect(Buffer.concat(res.written).equals(body)).toBe(true)
		// A view of the whole body would keep all of it until the last write.
		for (const piece of res.written)
			expect(piece.buffer.byteLength).toBeLessThanOrEqual(65_536)
		expect(held()).toBe(0)
	})

	it("has no room above its bound until half of it was read", () => {
		const {res, output, rooms} = createOutput(300_000)
		for (let n = 0; n < 5; n++) output.write(Buffer.alloc(60_000))
		expect(output.hasRoom).toBe(false)
		res.flush()
		expect({hasRoom: output.hasRoom, rooms: rooms()}).toEqual({
			hasRoom: false,
			rooms: 0
		})
		res.flush()
		expect({hasRoom: output.hasRoom, rooms: rooms()}).toEqual({
			hasRoom: true,
			rooms: 1
		})
	})

	it("counts nothing after its caller left, whatever is written", () => {
		const {res, output, held} = createOutput(300_000)
		output.write(Buffer.alloc(200_000))
		expect(held()).toBeGreaterThan(200_000)
		res.emit("close")
		expect(held()).toBe(0)
		output.write(Buffer.alloc(200_000))
		res.flush()
		expect(held()).toBe(0)
		expect(res.written).toHaveLength(1)
	})
})
