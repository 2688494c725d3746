/**
 * The base models that an engine holds or is loading. After a loss of power all
 * engines start empty at once: requests that can wait for the load are queued,
 * and the others are told when it will have ended.
 */
export interface BaseLoad {
	startedAt: number
	loadMs: number
}

/** A load that is overdue is expected to take this share of its time longer. */
const overdueShare = 0.25

export class BaseModels {
	readonly names = new Set<string>()
	private readonly loads = new Map<string, BaseLoad>()

	/** Takes in which models a report lists. */
	apply(names: Iterable<string>): void {
		this.names.clear()
		for (const name of names) {
			this.names.add(name)
			this.loads.delete(name)
		}
	}

	reset(): void {
		this.names.clear()
		this.loads.clear()
	}

	/** The engine has accepted an order to load the model. */
	beginLoad(name: string, loadMs: number, now: number): void {
		this.loads.set(name, {startedAt: now, loadMs})
	}

	/** Expected time until the model is held; undefined if nothing loads it. */
	getReadyMs(name: string, now: number): number | undefined {
		if (this.names.has(name)) return 0
		const load = this.loads.get(name)
		if (load === undefined) return undefined
		const elapsedMs = now - load.startedAt
		const leftMs = load.loadMs - elapsedMs
		return leftMs > 0 ? leftMs : elapsedMs * overdueShare
	}

	/** Expected time until any model is held; undefined if none is loaded. */
	getFirstReadyMs(now: number): number | undefined {
		if (this.names.size > 0) return 0
		const times = [...this.loads.keys()].flatMap(
			name => this.getReadyMs(name, now) ?? []
		)
		return times.length === 0 ? undefined : Math.min(...times)
	}
}
