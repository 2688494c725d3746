/**
 * Tracks failed loads by adapter: the end of the adapter's exponential backoff,
 * and the workers to avoid for it while others are available.
 */
import type {AdapterName} from "./types.js"

interface Failure {
	count: number
	retryAt: number
	workers: Set<string>
}

const baseBackoffMs = 500
const maxBackoffMs = 30_000
/** Consecutive failures after which the adapter's requests are refused. */
const maxFailures = 3
/** Like `maxFailures`, once every worker that is up has failed the load. */
const maxFailuresOnAllWorkers = 2
const pruneAtSize = 1024

export class LoadFailures {
	private readonly failures = new Map<AdapterName, Failure>()

	/** Records a failure; returns true if waiting requests should be refused. */
	add(
		adapter: AdapterName,
		worker: string,
		candidates: readonly {id: string}[],
		now: number
	): boolean {
		if (this.failures.size >= pruneAtSize) this.prune(now)
		const failure = this.failures.get(adapter) ?? {
			count: 0,
			retryAt: 0,
			workers: new Set<string>()
		}
		failure.count += 1
		failure.workers.add(worker)
		failure.retryAt = now + getBackoffMs(failure.count)
		this.failures.set(adapter, failure)
		const hasUntriedWorker = candidates.some(({id}) => !failure.workers.has(id))
		return (
			failure.count >=
			(hasUntriedWorker ? maxFailures : maxFailuresOnAllWorkers)
		)
	}

	clear(adapter: AdapterName): void {
		this.failures.delete(adapter)
	}

	/** End of the adapter's backoff; 0 if it has no recent failure. */
	retryAt(adapter: AdapterName): number {
		return this.failures.get(adapter)?.retryAt ?? 0
	}

	hasFailedOn(adapter: AdapterName, worker: string): boolean {
		return this.failures.get(adapter)?.workers.has(worker) ?? false
	}

	/** Deletes failures whose backoff ended more than `maxBackoffMs` ago. */
	private prune(now: number): void {
		for (const [adapter, failure] of this.failures) {
			if (now - failure.retryAt > maxBackoffMs) this.failures.delete(adapter)
		}
	}
}

function getBackoffMs(count: number): number {
	return Math.min(maxBackoffMs, baseBackoffMs * 2 ** (count - 1))
}
