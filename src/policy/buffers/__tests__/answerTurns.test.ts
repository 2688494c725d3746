import {describe, expect, it} from "vitest"
import {AnswerTurns} from "../index.js"

const chunkBytes = 65_536
const maxEndpointBytes = 200 * chunkBytes
/** An answer ends there, whole or not. */
const maxAnswerBytes = 64 * chunkBytes

interface Call {
	endpointId: string
	bytes: number
	isPaused: boolean
	isOpen: boolean
}

/** Replays chunks that arrive at calls, as far as these are read. */
class Replay {
	readonly turns = new AnswerTurns<Call>({maxEndpointBytes})
	readonly calls: Call[] = []
	mostBytes = 0

	open(endpointId: string, count: number): Call[] {
		const opened = Array.from({length: count}, () => {
			return {endpointId, bytes: 0, isPaused: false, isOpen: true}
		})
		this.calls.push(...opened)
		return opened
	}

	receive(call: Call, bytes: number): void {
		if (call.isPaused || !call.isOpen) return
		call.bytes += bytes
		this.apply(this.turns.add(call.endpointId, call, bytes))
		if (call.bytes >= maxAnswerBytes) this.end(call)
		const sizes = this.calls.map(each => (each.isOpen ? each.bytes : 0))
		this.mostBytes = Math.max(
			this.mostBytes,
			sizes.reduce((sum, size) => sum + size, 0)
		)
	}

	end(call: Call): void {
		call.isOpen = false
		this.apply(this.turns.close(call.endpointId, call))
	}

	private apply({paused, resumed}: ReturnType<typeof this.turns.add>): void {
		for (const call of paused) call.isPaused = true
		for (const call of resumed) call.isPaused = false
	}
}

describe("answers that are read in turns", () => {
	// Guards against 48 answers without end that are held at once, and against one that
	// is paused for good.
	it("end one after the other when all of an endpoint's have no end", () => {
		const replay = new Replay()
		const calls = replay.open("faulty", 48)
		let rounds = 0
		while (calls.some(({isOpen}) => isOpen)) {
			for (const call of calls) replay.receive(call, chunkBytes)
			rounds += 1
			expect(rounds).toBeLessThan(48 * 64)
		}
		expect(replay.mostBytes).toBeLessThanOrEqual(
			maxEndpointBytes + 4 * maxAnswerBytes
		)
	})

	it("leave the answers of other endpoints and unfinished events alone", () => {
		const replay = new Replay()
		const events = replay.open("faulty", 4)
		const sound = replay.open("sound", 3)
		const faulty = replay.open("faulty", 40)
		for (const call of [...events, ...sound]) replay.receive(call, 500)
		for (let round = 0; round < 20; round += 1)
			for (const call of faulty) replay.receive(call, chunkBytes)
		expect(faulty.some(({isPaused}) => isPaused)).toBe(true)
		expect([...events, ...sound].some(({isPaused}) => isPaused)).toBe(false)
	})

	it("are all read again once the large ones have ended", () => {
		const replay = new Replay()
		const calls = replay.open("faulty", 40)
		for (let round = 0; round < 20; round += 1)
			for (const call of calls) replay.receive(call, chunkBytes)
		for (const call of calls.slice(0, 36)) replay.end(call)
		expect(calls.slice(36).some(({isPaused}) => isPaused)).toBe(false)
	})
})

describe("the call that ends while the process holds too much", () => {
	it("is the largest one to the endpoint with the most bytes", () => {
		const replay = new Replay()
		const [lone, faulty, worst] = [
			replay.open("lone", 1),
			replay.open("faulty", 2),
			replay.open("worst", 3)
		]
		for (const call of lone) replay.receive(call, 6000)
		for (const call of [...faulty, ...worst]) replay.receive(call, 4000)
		const [first, second] = worst
		if (!first || !second) throw new Error("no calls")
		replay.receive(second, 1000)
		expect(replay.turns.choose(24_000)).toBe(second)
		replay.end(second)
		replay.end(first)
		expect(faulty).toContain(replay.turns.choose(8000))
	})

	// Guards against calls that end for what slow callers keep waiting.
	it("is none unless unfinished answers are most of what is held", () => {
		const replay = new Replay()
		const calls = replay.open("sound", 2)
		for (const call of calls) replay.receive(call, 4000)
		expect(replay.turns.choose(20_000)).toBeUndefined()
		for (const call of calls) replay.end(call)
		expect(replay.turns.choose(0)).toBeUndefined()
	})

	// Guards against a large answer that ends while a caller reads slowly.
	it("is not the only one to its endpoint, however large that is", () => {
		const replay = new Replay()
		for (const call of replay.open("sound", 1)) replay.receive(call, 4000)
		expect(replay.turns.choose(5000)).toBeUndefined()
	})
})
