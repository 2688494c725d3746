/**
 * The platform's object API in memory, under a virtual clock, with the faults
 * that the real one shows: lost answers, writes that land late, stale reads and
 * outages. All randomness comes from the seed.
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
	/** Share of writes that take effect and lose their answer. */
	lost: number
	/** Share of writes whose answer is lost and that land later, or never. */
	delayed: number
	/** Longest delay of such a write. */
	delayMs: number
	/** Share of writes that are refused. */
	refused: number
	/** Share of reads that fail. */
	readFailed: number
	/** Share of reads that return an earlier state. */
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
	/** Calls are refused at once. */
	Refusing = "refusing",
	/** Calls get no answer until the client's timeout. */
	Silent = "silent"
}

export interface FakePlatformOptions {
	clock: VirtualClock
	seed: number
	/** Shortest and longest time of one call. */
	minLatencyMs?: number
	maxLatencyMs?: number
	/** When a client stops waiting for an answer. */
	timeoutMs?: number
	faults?: FaultRates
}

/** Versions of one object, oldest first; undefined after its removal. */
type History = (PlatformObject | undefined)[]

const historyLength = 8

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
		this.random = makeRandom(options.seed)
		this.minLatencyMs = options.minLatencyMs ?? 2
		this.maxLatencyMs = options.maxLatencyMs ?? 8
		this.timeoutMs = options.timeoutMs ?? 500
		this.faults = options.faults ?? noFaults
	}

	/** Names of the objects of a kind that exist. */
	names(kind: string): string[] {
		const prefix = `${kind}:`
		const isPresent = ([key, history]: [string, History]): boolean =>
			key.startsWith(prefix) && history.at(-1) !== undefined
		return [...this.histories]
			.filter(isPresent)
			.map(([key]) => key.slice(prefix.length))
	}

	/** The newest state of an object, without a call. */
	peek(kind: string, name: string): PlatformObject | undefined {
		return this.histories.get(`${kind}:${name}`)?.at(-1)
	}

	override async read(
		kind: string,
		name: string
	): Promise<PlatformObject | undefined> {
		this.reads += 1
		await this.travel()
		this.failRead()
		const history = this.histories.get(`${kind}:${name}`) ?? []
		const isStale = this.random() < this.faults.stale
		const back = isStale ? 1 + Math.floor(this.random() * historyLength) : 1
		const object = structuredClone(history.at(-back))
		await this.travel()
		return object
	}

	override async list(kind: string, prefix = ""): Promise<PlatformListing> {
		this.reads += 1
		await this.travel()
		this.failRead()
		const items = this.names(kind)
			.filter(name => name.startsWith(prefix))
			.map(name => this.peek(kind, name))
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
		return this.change(() => this.store(`${kind}:${name}`, text, expected))
	}

	override remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		const key = `${kind}:${name}`
		return this.change(() => this.store(key, undefined, expected))
	}

	override watch(): Promise<PlatformWatch> {
		return Promise.reject(platformError("watches are not part of this fake"))
	}

	override hosts(): Promise<HostRecord[]> {
		return Promise.reject(platformError("hosts are not part of this fake"))
	}

	private async change(store: () => WriteResult): Promise<WriteResult> {
		await this.travel()
		if (this.outage === OutageType.Refusing) return refused
		if (this.outage === OutageType.Silent) {
			await this.clock.sleep(this.timeoutMs)
			return lost
		}
		const draw = this.random()
		const {lost: lostRate, delayed, delayMs, refused: refusedRate} = this.faults
		if (draw < refusedRate) return refused
		if (draw < refusedRate + delayed) {
			const delay = this.random() * delayMs
			this.clock.setTimer(store, this.clock.now + delay)
			await this.clock.sleep(this.timeoutMs)
			return lost
		}
		const result = store()
		await this.travel()
		if (draw < refusedRate + delayed + lostRate) {
			await this.clock.sleep(this.timeoutMs)
			return lost
		}
		return result
	}

	private store(
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
		if (history.length > historyLength) history.shift()
		this.histories.set(key, history)
		return {outcome: WriteOutcome.Written, version: this.revision, detail: ""}
	}

	private failRead(): void {
		if (this.outage !== undefined || this.random() < this.faults.readFailed) {
			throw platformError("the platform does not answer")
		}
	}

	private travel(): Promise<void> {
		const spread = this.maxLatencyMs - this.minLatencyMs
		return this.clock.sleep(this.minLatencyMs + this.random() * spread)
	}
}

/** A deterministic stand-in for `Math.random`. */
export function makeRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	const range = 2 ** 32
	return () => (generator.next() >>> 0) / range
}

const lost: WriteResult = {
	outcome: WriteOutcome.Lost,
	version: 0,
	detail: "timeout"
}

const refused: WriteResult = {
	outcome: WriteOutcome.Refused,
	version: 0,
	detail: "unavailable"
}

function platformError(message: string): PlatformError {
	return new PlatformError(message, {step: Step.Platform, peer: "platform"})
}
