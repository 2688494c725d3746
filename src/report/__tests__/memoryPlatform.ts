/** An in-memory platform into whose writes and removals faults are injected. */
import {HostRole, HostState} from "../../host/host.js"
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

export enum Fault {
	None = "none",
	/** The write takes effect, and its answer is lost. */
	LostAfter = "lostAfter",
	/** The write takes no effect, and its answer is lost. */
	LostBefore = "lostBefore",
	/** The platform refuses the write, as with status 429. */
	Refused = "refused"
}

export class MemoryPlatform extends Platform {
	readonly objects = new Map<string, PlatformObject>()
	/** Faults of the next writes and removals, in order. */
	readonly faults: Fault[] = []
	/** While true, reads and listings reject, and writes are lost without effect. */
	isDown = false
	writes = 0
	lists = 0
	removals = 0
	largestBytes = 0

	read(kind: string, name: string): Promise<PlatformObject | undefined> {
		if (this.isDown) return Promise.reject(createDownError())
		return Promise.resolve(this.objects.get(`${kind}/${name}`))
	}

	list(kind: string, prefix = ""): Promise<PlatformListing> {
		this.lists += 1
		if (this.isDown) return Promise.reject(createDownError())
		const items: PlatformObject[] = []
		for (const [key, object] of this.objects) {
			if (key.startsWith(`${kind}/${prefix}`)) items.push(object)
		}
		return Promise.resolve({revision: 1, items})
	}

	write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		const text = JSON.stringify(value)
		this.largestBytes = Math.max(this.largestBytes, Buffer.byteLength(text))
		return this.change(kind, name, expected, version => {
			const object = {name, version, value: JSON.parse(text) as unknown}
			this.objects.set(`${kind}/${name}`, object)
		})
	}

	remove(kind: string, name: string, expected: number): Promise<WriteResult> {
		this.removals += 1
		return this.change(kind, name, expected, () => {
			this.objects.delete(`${kind}/${name}`)
		})
	}

	watch(): Promise<PlatformWatch> {
		return Promise.resolve({revision: 1, events: [], gap: false})
	}

	hosts(): Promise<HostRecord[]> {
		const entry = {id: "e1", role: HostRole.Entry, address: "", pool: ""}
		return Promise.resolve([
			{...entry, failureDomain: "a", state: HostState.Live}
		])
	}

	private change(
		kind: string,
		name: string,
		expected: number,
		apply: (version: number) => void
	): Promise<WriteResult> {
		const fault = this.faults.shift() ?? Fault.None
		if (fault === Fault.Refused) return createWriteResult(WriteOutcome.Refused)
		if (this.isDown || fault === Fault.LostBefore) {
			return createWriteResult(WriteOutcome.Lost)
		}
		const stored = this.objects.get(`${kind}/${name}`)?.version ?? absentVersion
		if (stored !== expected)
			return createWriteResult(WriteOutcome.Conflict, stored)
		apply(stored + 1)
		if (fault === Fault.LostAfter) return createWriteResult(WriteOutcome.Lost)
		return createWriteResult(WriteOutcome.Written, stored + 1)
	}
}

function createWriteResult(
	outcome: WriteOutcome,
	version = 0
): Promise<WriteResult> {
	return Promise.resolve({outcome, version, detail: ""})
}

function createDownError(): PlatformError {
	return new PlatformError("the platform is down", {step: Step.Platform})
}
