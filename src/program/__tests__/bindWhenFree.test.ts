import {describe, expect, it, vi} from "vitest"
import {type BindOptions, bindWhenFree, ListenError} from "../bindWhenFree.js"

const address = "127.0.0.1:1"
const taken = `listen EADDRINUSE: address already in use ${address}`
const missing = `listen EADDRNOTAVAIL: address not available ${address}`

interface Fixture {
	options: BindOptions<string>
	stopping: AbortController
	/** Names of the lines that were logged, with their errors. */
	lines: unknown[][]
	onBound: ReturnType<typeof vi.fn>
	unbind: ReturnType<typeof vi.fn>
	/** Whether each attempt was a retry. */
	attempts: boolean[]
}

/** Attempts fail with the given errors, one each, then succeed. */
function createFixture(errors: readonly Error[]): Fixture {
	const left = [...errors]
	const stopping = new AbortController()
	const lines: unknown[][] = []
	const attempts: boolean[] = []
	const onBound = vi.fn()
	const unbind = vi.fn()
	const options: BindOptions<string> = {
		address,
		purpose: "callers",
		bind: ({isRetry}) => {
			attempts.push(isRetry)
			const err = left.shift()
			return err === undefined ? Promise.resolve("server") : Promise.reject(err)
		},
		onBound,
		unbind,
		signal: stopping.signal,
		log: {
			decide: (event, inputs) => {
				const error = inputs?.error
				lines.push(error === undefined ? [event] : [event, error])
			}
		},
		retryMs: 1
	}
	return {options, stopping, lines, onBound, unbind, attempts}
}

describe("an address that can't be bound at first", () => {
	it("is bound once it is free, with one line for the wait", async () => {
		const errors = Array.from({length: 5}, () => new Error(taken))
		const {options, lines, onBound, attempts} = createFixture(errors)
		await bindWhenFree(options)
		expect(lines).toEqual([["listen.waiting", taken]])
		await vi.waitUntil(() => onBound.mock.calls.length > 0)
		expect(lines).toEqual([["listen.waiting", taken], ["listen.bound"]])
		expect(attempts).toEqual([false, true, true, true, true, true])
		expect(onBound).toHaveBeenCalledExactlyOnceWith("server")
	})

	it("is awaited if gRPC has the reason in its message only", async () => {
		const text = `No address added out of total 1 resolved errors: [${taken}]`
		const {options, lines, onBound} = createFixture([
			new Error(text),
			new Error(taken)
		])
		await bindWhenFree(options)
		await vi.waitUntil(() => onBound.mock.calls.length > 0)
		expect(lines).toEqual([["listen.waiting", text], ["listen.bound"]])
	})

	it("is awaited on through errors of other kinds, each logged", async () => {
		const {options, lines, onBound} = createFixture([
			new Error(missing),
			new Error("listen EACCES"),
			new Error(taken)
		])
		await bindWhenFree(options)
		await vi.waitUntil(() => onBound.mock.calls.length > 0)
		expect(lines).toEqual([
			["listen.waiting", missing],
			["listen.waiting", "listen EACCES"],
			["listen.waiting", taken],
			["listen.bound"]
		])
	})

	it("ends the start if waiting can't help", async () => {
		const {options, lines, attempts} = createFixture([
			new Error("listen EACCES: permission denied")
		])
		const started = bindWhenFree(options)
		await expect(started).rejects.toThrow(ListenError)
		await expect(started).rejects.toThrow(
			`can't listen at ${address} (callers): listen EACCES: permission denied`
		)
		expect(lines).toEqual([])
		expect(attempts).toEqual([false])
	})
})

describe("a stop while an address is awaited", () => {
	it("ends the attempts", async () => {
		const errors = Array.from({length: 1000}, () => new Error(taken))
		const {options, stopping, attempts} = createFixture(errors)
		await bindWhenFree(options)
		stopping.abort()
		const {length} = attempts
		await new Promise(resolve => setTimeout(resolve, 20))
		expect(attempts).toHaveLength(length)
	})

	it("releases what an attempt binds that is under way", async () => {
		const {options, stopping, onBound, unbind} = createFixture([
			new Error(taken)
		])
		const {bind} = options
		options.bind = async attempt => {
			const bound = await bind(attempt)
			stopping.abort()
			return bound
		}
		await bindWhenFree(options)
		await vi.waitUntil(() => unbind.mock.calls.length > 0)
		expect(unbind).toHaveBeenCalledExactlyOnceWith("server")
		expect(onBound).not.toHaveBeenCalled()
	})
})
