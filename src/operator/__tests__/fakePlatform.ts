/** A platform in memory that loses answers, goes out and serves stale reads. */
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

/** What happens to one call. */
export enum Fault {
	None,
	/** The call is answered by an error, or by a refusal of the write. */
	Refuse,
	/** The call takes no effect, and its answer is lost. */
	LoseBefore,
	/** The write takes effect, and its answer is lost. */
	LoseAfter,
	/** The write takes effect at `applyLate`; its answer is lost. */
	Delay,
	/** A read shows the state before the last write. */
	Stale
}

/** Decides the fault of each call, and may wait before it takes effect. */
export type ChooseFault = (
	call: "read" | "write",
	kind: string
) => Fault | Promise<Fault>

export class FakePlatform extends Platform {
	isOut = false
	hostRecords: HostRecord[] = []
	reads = 0
	writes = 0
	chooseFault: ChooseFault = () => Fault.None
	private versions = 0
	private readonly objects = new Map<string, PlatformObject[]>()
	private late: (() => void)[] = []

	async read(kind: string, name: string): Promise<PlatformObject | undefined> {
		this.reads += 1
		const fault = await this.chooseFault("read", kind)
		if (this.isOut) throw out()
		if (fault !== Fault.None && fault !== Fault.Stale) throw out()
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
		if (this.isOut || fault === Fault.Refuse) {
			return ended(WriteOutcome.Refused)
		}
		const apply = (): WriteResult => this.store(kind, name, copy, expected)
		if (fault === Fault.LoseBefore) return ended(WriteOutcome.Lost)
		if (fault === Fault.Delay) {
			this.late.push(apply)
			return ended(WriteOutcome.Lost)
		}
		const result = apply()
		return fault === Fault.LoseAfter ? ended(WriteOutcome.Lost) : result
	}

	/** Lets the delayed writes take effect. */
	applyLate(): void {
		const late = this.late
		this.late = []
		for (const apply of late) apply()
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
		if (version !== expected) return ended(WriteOutcome.Conflict, version)
		this.objects.delete(key)
		return ended(WriteOutcome.Written)
	}

	watch(): Promise<PlatformWatch> {
		return Promise.reject(out())
	}

	hosts(): Promise<HostRecord[]> {
		if (this.isOut) return Promise.reject(out())
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
		if (current !== expected) return ended(WriteOutcome.Conflict, current)
		this.versions += 1
		const version = this.versions
		this.objects.set(key, [...stored, {name, version, value}])
		return ended(WriteOutcome.Written, version)
	}
}

function ended(outcome: WriteOutcome, version = absentVersion): WriteResult {
	return {outcome, version, detail: outcome}
}

function out(): PlatformError {
	return new PlatformError("no answer", {step: Step.Platform, peer: "fake"})
}
