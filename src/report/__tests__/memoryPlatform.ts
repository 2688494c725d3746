/** An in-memory platform whose next write answers can be chosen. */
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
	/** The write takes effect, its answer is lost. */
	LostAfter = "lostAfter",
	/** The write is lost before it takes effect. */
	LostBefore = "lostBefore",
	/** The platform answers 429. */
	Refused = "refused"
}

export class MemoryPlatform extends Platform {
	readonly objects = new Map<string, PlatformObject>()
	/** Faults of the next writes and removals, in order. */
	readonly faults: Fault[] = []
	isDown = false
	writes = 0
	lists = 0
	removals = 0
	largestBytes = 0

	read(kind: string, name: string): Promise<PlatformObject | undefined> {
		if (this.isDown) return Promise.reject(downError())
		return Promise.resolve(this.objects.get(`${kind}/${name}`))
	}

	list(kind: string, prefix = ""): Promise<PlatformListing> {
		this.lists += 1
		if (this.isDown) return Promise.reject(downError())
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
		if (fault === Fault.Refused) return answer(WriteOutcome.Refused)
		if (this.isDown || fault === Fault.LostBefore) {
			return answer(WriteOutcome.Lost)
		}
		const stored = this.objects.get(`${kind}/${name}`)?.version ?? absentVersion
		if (stored !== expected) return answer(WriteOutcome.Conflict, stored)
		apply(stored + 1)
		if (fault === Fault.LostAfter) return answer(WriteOutcome.Lost)
		return answer(WriteOutcome.Written, stored + 1)
	}
}

function answer(outcome: WriteOutcome, version = 0): Promise<WriteResult> {
	return Promise.resolve({outcome, version, detail: ""})
}

function downError(): PlatformError {
	return new PlatformError("the platform is down", {step: Step.Platform})
}
