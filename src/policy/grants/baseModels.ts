/**
 * The base models that are resident or loading on an engine. After a power
 * failure all engines start empty at once. The expected end of the load then
 * decides which requests are queued, and when the refused ones should retry.
 */
export interface BaseModelLoad {
	startedAt: number
	loadMs: number
}

/** An overdue load is expected to take this fraction of its elapsed time more. */
const overdueFraction = 0.25

export class BaseModels {
	readonly residentNames = new Set<string>()
	private readonly loads = new Map<string, BaseModelLoad>()

	/** Replaces the resident models by those of a report. */
	apply(names: Iterable<string>): void {
		this.residentNames.clear()
		for (const name of names) {
			this.residentNames.add(name)
			this.loads.delete(name)
		}
	}

	reset(): void {
		this.residentNames.clear()
		this.loads.clear()
	}

	/** Records that the engine has accepted an order to load the model. */
	beginLoad(name: string, loadMs: number, now: number): void {
		this.loads.set(name, {startedAt: now, loadMs})
	}

	/** Expected time until the model is resident; undefined if it is not loading. */
	getReadyMs(name: string, now: number): number | undefined {
		if (this.residentNames.has(name)) return 0
		const load = this.loads.get(name)
		if (load === undefined) return undefined
		const elapsedMs = now - load.startedAt
		const remainingMs = load.loadMs - elapsedMs
		return remainingMs > 0 ? remainingMs : elapsedMs * overdueFraction
	}

	/** Expected time until the first model is resident; undefined if none loads. */
	getFirstReadyMs(now: number): number | undefined {
		if (this.residentNames.size > 0) return 0
		const times = [...this.loads.keys()].flatMap(
			name => this.getReadyMs(name, now) ?? []
		)
		return times.length === 0 ? undefined : Math.min(...times)
	}
}
