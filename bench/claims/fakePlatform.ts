/**
 * An in-memory implementation of the platform's object API on a virtual clock.
 * It injects the faults of the real one: writes without an answer, writes that
 * take effect late, stale reads and outages. All randomness comes from the seed.
 */
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {
	absentVersion,
	type HostRecord,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	WriteOutcome,
	type WriteResult
} from "../../src/link/platform.js"
import {PlatformError, Step} from "../../src/contract/errors.js"
import type {VirtualClock} from "./virtualClock.js"

export interface FaultRates {
	/** Share of writes that take effect but time out at the client. */
	lost: number
	/**
	 * Share of writes that time out at the client and are applied after a random
	 * delay, without effect when the object changed in the meantime.
	 */
	delayed: number
	/** Longest delay of a delayed write. */
	delayMs: number
	/** Share of writes that are refused without effect. */
	refused: number
	/** Share of reads that fail. */
	readFailed: number
	/** Share of reads that return a random recent version, or none. */
	stale: number
}

export const noFaults: Readonly<FaultRates> = {
	lost: 0,
	delayed: 0,
	delayMs: 0,
	refused: 0,
	readFailed: 0,
	stale: 0
}

export enum OutageType {
	/** Writes are refused after the latency of a call; reads fail. */
	Refusing = "refusing",
	/** Writes time out at the client; reads fail. */
	Silent = "silent"
}

export interface FakePlatformOptions {
	clock: VirtualClock
	seed: number
	/** Bounds of the one-way latency. */
	minLatencyMs?: number
	maxLatencyMs?: number
	/** Time after which the client of a lost write stops waiting. */
	timeoutMs?: number
	faults?: FaultRates
}

/** The latest versions of one object, oldest first; undefined for a removal. */
type History = (PlatformObject | undefined)[]

const maxHistoryLength = 8

export class FakePlatform extends Platform {
	reads = 0
	writes = 0
	writtenChars = 0
	faults: FaultRates
	outage: OutageType | undefined

	private readonly histories = new Map<string, History>()
	private readonly clock: VirtualClock
	private readonly random: () => number
	private readonly minLatencyMs: number
	private readonly maxLatencyMs: number
	private readonly timeoutMs: number
	private revision = 0

	constructor(options: FakePlatformOptions) {
		super()
		this.clock = options.clock
		this.random = createRandom(options.seed)
		this.minLatencyMs = options.minLatencyMs ?? 2
		this.maxLatencyMs = options.maxLatencyMs ?? 8
		this.timeoutMs = options.timeoutMs ?? 500
		this.faults = options.faults ?? noFaults
	}

	/** Names of the existing objects of a kind. */
	listNames(kind: string): string[] {
		const prefix = `${kind}:`
		const isPresent = ([key, history]: [string, History]): boolean =>
			key.startsWith(prefix) && history.at(-1) !== undefined
		return [...this.histories]
			.filter(isPresent)
			.map(([key]) => key.slice(prefix.length))
	}

	/** The newest version of an object, without latency, faults or counting. */
	getNewest(kind: string, name: string): PlatformObject | undefined {
		return this.histories.get(`${kind}:${name}`)?.at(-1)
	}

	override async read(
		kind: string,
		name: string
	): Promise<PlatformObject | undefined> {
		this.reads += 1
		await this.simulateLatency()
		this.throwOnReadFault()
		const history = this.histories.get(`${kind}:${name}`) ?? []
		const isStale = this.random() < this.faults.stale
		const versionsBack = isStale
			? 1 + Math.floor(this.random() * maxHistoryLength)
			: 1
		const object = structuredClone(history.at(-versionsBack))
		await this.simulateLatency()
		return object
	}

	override async list(kind: string, prefix = ""): Promise<PlatformListing> {
		this.reads += 1
		await this.simulateLatency()
		this.throwOnReadFault()
		const items = this.listNames(kind)
			.filter(name => name.startsWith(prefix))
			.map(name => this.getNewest(kind, name))
			.filter(object => object !== undefined)
		return {revision: this.revision, items: structuredClone(items)}
	}

	override write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		const text = JSON.stringify(value)
		this.writtenChars += text.length
		return this.performWrite(() =>
			this.applyWrite(`${kind}:${name}`, text, expected)
		)
	}

	override remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		const key = `${kind}:${name}`
		return this.performWrite(() => this.applyWrite(key, undefined, expected))
	}

	override watch(): Promise<PlatformWatch> {
		return Promise.reject(
			createPlatformError("FakePlatform does not support watches")
		)
	}

	override hosts(): Promise<HostRecord[]> {
		return Promise.reject(
			createPlatformError("FakePlatform does not support lists of hosts")
		)
	}

	private async performWrite(
		applyWrite: () => WriteResult
	): Promise<WriteResult> {
		await this.simulateLatency()
		if (this.outage === OutageType.Refusing) return refusedResult
		if (this.outage === OutageType.Silent) {
			await this.clock.sleep(this.timeoutMs)
			return lostResult
		}
		const randomShare = this.random()
		const {
			lost: lostShare,
			delayed,
			delayMs,
			refused: refusedShare
		} = this.faults
		if (randomShare < refusedShare) return refusedResult
		if (randomShare < refusedShare + delayed) {
			const delay = this.random() * delayMs
			this.clock.setTimer(applyWrite, this.clock.now + delay)
			await this.clock.sleep(this.timeoutMs)
			return lostResult
		}
		const result = applyWrite()
		await this.simulateLatency()
		if (randomShare < refusedShare + delayed + lostShare) {
			await this.clock.sleep(this.timeoutMs)
			return lostResult
		}
		return result
	}

	private applyWrite(
		key: string,
		text: string | undefined,
		expected: number
	): WriteResult {
		const history = this.histories.get(key) ?? []
		const version = history.at(-1)?.version ?? absentVersion
		if (version !== expected) {
			return {outcome: WriteOutcome.Conflict, version, detail: "conflict"}
		}
		this.revision += 1
		const name = key.slice(key.indexOf(":") + 1)
		const value = text === undefined ? undefined : (JSON.parse(text) as unknown)
		const isRemoved = text === undefined
		history.push(isRemoved ? undefined : {name, version: this.revision, value})
		if (history.length > maxHistoryLength) history.shift()
		this.histories.set(key, history)
		return {outcome: WriteOutcome.Written, version: this.revision, detail: ""}
	}

	private throwOnReadFault(): void {
		if (this.outage !== undefined || this.random() < this.faults.readFailed) {
			throw createPlatformError("the platform does not answer")
		}
	}

	private simulateLatency(): Promise<void> {
		const latencyRangeMs = this.maxLatencyMs - this.minLatencyMs
		return this.clock.sleep(this.minLatencyMs + this.random() * latencyRangeMs)
	}
}

/** Returns a seeded replacement of `Math.random`. */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	const range = 2 ** 32
	return () => (generator.next() >>> 0) / range
}

const lostResult: WriteResult = {
	outcome: WriteOutcome.Lost,
	version: 0,
	detail: "timeout"
}

const refusedResult: WriteResult = {
	outcome: WriteOutcome.Refused,
	version: 0,
	detail: "unavailable"
}

function createPlatformError(message: string): PlatformError {
	return new PlatformError(message, {step: Step.Platform, peer: "platform"})
}
