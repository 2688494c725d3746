/** An in-memory platform that can lose answers, fail and serve stale reads. */
import {PlatformError, Step} from "../../contract/errors.js"
import {
	absentVersion,
	type HostRecord,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	WriteOutcome,
	type WriteResult
} from "../../link/platform.js"

/** The fault injected into one call. */
export enum Fault {
	None,
	/** A read rejects, a write is refused. */
	Refuse,
	/** A write takes no effect, and its answer is lost; a read rejects. */
	LoseBefore,
	/** A write takes effect, and its answer is lost; a read rejects. */
	LoseAfter,
	/**
	 * A write takes effect at `applyDelayedWrites`, and its answer is lost; a read
	 * rejects.
	 */
	Delay,
	/** A read returns the state before the last write. */
	Stale
}

/**
 * Chooses the fault of each call; a promise delays the call until it resolves.
 * Removals count as writes, but ignore the fault.
 */
export type ChooseFault = (
	call: "read" | "write",
	kind: string
) => Fault | Promise<Fault>

export class FakePlatform extends Platform {
	/**
	 * While true, reads and the host list reject, and writes are refused; listings and
	 * removals still work.
	 */
	isUnavailable = false
	hostRecords: HostRecord[] = []
	reads = 0
	writes = 0
	chooseFault: ChooseFault = () => Fault.None
	private versions = 0
	private readonly objects = new Map<string, PlatformObject[]>()
	private delayedWrites: (() => void)[] = []

	async read(kind: string, name: string): Promise<PlatformObject | undefined> {
		this.reads += 1
		const fault = await this.chooseFault("read", kind)
		if (this.isUnavailable) throw createNoAnswerError()
		if (fault !== Fault.None && fault !== Fault.Stale)
			throw createNoAnswerError()
		const stored = this.objects.get(`${kind}/${name}`) ?? []
		return structuredClone(stored.at(fault === Fault.Stale ? -2 : -1))
	}

	async write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		const copy: unknown = structuredClone(value)
		const fault = await this.chooseFault("write", kind)
		if (this.isUnavailable || fault === Fault.Refuse) {
			return createResult(WriteOutcome.Refused)
		}
		const apply = (): WriteResult => this.store(kind, name, copy, expected)
		if (fault === Fault.LoseBefore) return createResult(WriteOutcome.Lost)
		if (fault === Fault.Delay) {
			this.delayedWrites.push(apply)
			return createResult(WriteOutcome.Lost)
		}
		const result = apply()
		return fault === Fault.LoseAfter ? createResult(WriteOutcome.Lost) : result
	}

	/** Applies the writes delayed by `Fault.Delay`. */
	applyDelayedWrites(): void {
		const lateWrites = this.delayedWrites
		this.delayedWrites = []
		for (const apply of lateWrites) apply()
	}

	list(kind: string, prefix = ""): Promise<PlatformListing> {
		const start = `${kind}/${prefix}`
		const keys = [...this.objects.keys()].filter(key => key.startsWith(start))
		const items = keys.flatMap(key => this.objects.get(key)?.at(-1) ?? [])
		return Promise.resolve({revision: this.versions, items})
	}

	async remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		await this.chooseFault("write", kind)
		const key = `${kind}/${name}`
		const version = this.objects.get(key)?.at(-1)?.version ?? absentVersion
		if (version !== expected)
			return createResult(WriteOutcome.Conflict, version)
		this.objects.delete(key)
		return createResult(WriteOutcome.Written)
	}

	watch(): Promise<PlatformWatch> {
		return Promise.reject(createNoAnswerError())
	}

	hosts(): Promise<HostRecord[]> {
		if (this.isUnavailable) return Promise.reject(createNoAnswerError())
		return Promise.resolve(this.hostRecords)
	}

	private store(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): WriteResult {
		const key = `${kind}/${name}`
		const stored = this.objects.get(key) ?? []
		const current = stored.at(-1)?.version ?? absentVersion
		if (current !== expected)
			return createResult(WriteOutcome.Conflict, current)
		this.versions += 1
		const version = this.versions
		this.objects.set(key, [...stored, {name, version, value}])
		return createResult(WriteOutcome.Written, version)
	}
}

function createResult(
	outcome: WriteOutcome,
	version = absentVersion
): WriteResult {
	return {outcome, version, detail: outcome}
}

function createNoAnswerError(): PlatformError {
	return new PlatformError("no answer", {step: Step.Platform, peer: "fake"})
}
