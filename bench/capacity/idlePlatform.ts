/**
 * A platform with a fixed list of hosts and no objects. It counts calls and
 * accepts every write without storing it; watches never return.
 */
import {
	type HostRecord,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	WriteOutcome,
	type WriteResult
} from "../../src/link/index.js"

export class IdlePlatform extends Platform {
	writes = 0
	reads = 0
	writtenBytes = 0

	constructor(private readonly records: readonly HostRecord[] = []) {
		super()
	}

	override read(): Promise<PlatformObject | undefined> {
		this.reads += 1
		return Promise.resolve(undefined)
	}

	override list(): Promise<PlatformListing> {
		this.reads += 1
		return Promise.resolve({revision: 1, items: []})
	}

	override write(
		_kind: string,
		_name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		this.writes += 1
		this.writtenBytes += Buffer.byteLength(JSON.stringify(value))
		const version = expected + 1
		return Promise.resolve({
			outcome: WriteOutcome.Written,
			version,
			detail: ""
		})
	}

	override remove(): Promise<WriteResult> {
		this.writes += 1
		const outcome = WriteOutcome.Written
		return Promise.resolve({outcome, version: 1, detail: ""})
	}

	override watch(): Promise<PlatformWatch> {
		return new Promise(() => undefined)
	}

	override hosts(): Promise<HostRecord[]> {
		this.reads += 1
		return Promise.resolve([...this.records])
	}
}
