/**
 * Failed loads: each adapter backs off exponentially, up to a cap, and the
 * workers that failed it are avoided while others are left.
 */
import type {AdapterName} from "./types.js"

interface Failure {
	count: number
	retryAt: number
	workers: Set<string>
}

const baseBackoffMs = 500
const maxBackoffMs = 30_000
/** Failures in a row after which the waiting requests are refused. */
const maxFailures = 3
/** The same once every worker of the host has failed the load. */
const maxFailuresEverywhere = 2
const maxRecords = 1024

export class LoadFailures {
	private readonly failures = new Map<AdapterName, Failure>()

	/** Records a failure; returns true when the waiting should be refused. */
	add(
		adapter: AdapterName,
		worker: string,
		candidates: readonly {id: string}[],
		now: number
	): boolean {
		if (this.failures.size >= maxRecords) this.prune(now)
		const failure = this.failures.get(adapter) ?? {
			count: 0,
			retryAt: 0,
			workers: new Set<string>()
		}
		failure.count += 1
		failure.workers.add(worker)
		failure.retryAt = now + getBackoffMs(failure.count)
		this.failures.set(adapter, failure)
		const isLeft = candidates.some(({id}) => !failure.workers.has(id))
		return failure.count >= (isLeft ? maxFailures : maxFailuresEverywhere)
	}

	clear(adapter: AdapterName): void {
		this.failures.delete(adapter)
	}

	/** Time from which the adapter may be loaded again. */
	retryAt(adapter: AdapterName): number {
		return this.failures.get(adapter)?.retryAt ?? 0
	}

	hasFailedOn(adapter: AdapterName, worker: string): boolean {
		return this.failures.get(adapter)?.workers.has(worker) ?? false
	}

	/** Forgets failures whose backoff ended long ago. */
	private prune(now: number): void {
		for (const [adapter, failure] of this.failures) {
			if (now - failure.retryAt > maxBackoffMs) this.failures.delete(adapter)
		}
	}
}

function getBackoffMs(count: number): number {
	return Math.min(maxBackoffMs, baseBackoffMs * 2 ** (count - 1))
}
