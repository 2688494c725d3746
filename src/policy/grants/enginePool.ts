/**
 * Which pool an agent's engine belongs to. The agent's settings name it, but the address
 * of an engine that has ended may get an engine of another pool. Until a registration
 * tells, an engine that may be such a one belongs to no known pool.
 */

export interface EnginePoolOptions {
	/** Pool that the settings name; undefined if they name none. */
	pool?: string | undefined
	/** Shortest time from the end of an engine until another one gets its address. */
	reuseAfterMs: number
}

/** A response of the engine; all times are of one clock. */
export interface EngineSighting {
	id: string
	/** Start time that the engine states. */
	bornAt: number
	/** When the engine was asked. */
	askedAt: number
	now: number
}

/** Registrations kept; those of engines that are gone are of no use. */
const maxRegistrations = 16

export class EnginePool {
	private readonly reuseAfterMs: number
	/** Pools by the ids of engines, as gateways read them; "" if they state none. */
	private readonly registrations = new Map<string, string>()
	private pool: string | undefined
	private engineId = ""
	private bornAt: number | undefined
	private seenAt = Number.NEGATIVE_INFINITY
	/** Whether the address may have been used again before this incarnation. */
	private isAfterReuse = false
	private isCertain = true

	constructor({pool, reuseAfterMs}: EnginePoolOptions) {
		this.pool = pool
		this.reuseAfterMs = reuseAfterMs
	}

	/** Name of the pool; undefined if it is not known. */
	get name(): string | undefined {
		return this.isCertain ? this.pool : undefined
	}

	/** Whether the engine may be one of another pool than the engine before it. */
	get mayBeReplaced(): boolean {
		return !this.isCertain
	}

	/** Whether the engine is known not to be of a pool, or may not be. */
	isForeign(pool: string): boolean {
		if (!this.isCertain) return true
		return this.pool !== undefined && pool !== "" && pool !== this.pool
	}

	/**
	 * Records a response of the engine. Its id may be found out only some responses after
	 * its start; until then the id is that of the engine before, or empty.
	 */
	recordEngine({id, bornAt, askedAt, now}: EngineSighting): void {
		if (this.bornAt !== undefined && bornAt !== this.bornAt)
			this.isAfterReuse = now - this.seenAt >= this.reuseAfterMs
		const isOther = this.engineId !== "" && id !== this.engineId
		if (isOther && this.isAfterReuse) this.isCertain = false
		this.engineId = id
		this.bornAt = bornAt
		this.seenAt = askedAt
		this.applyRegistration()
	}

	/** Records the pool with which a gateway read the registration of an engine. */
	recordRegistration(id: string, pool: string): void {
		this.registrations.delete(id)
		this.registrations.set(id, pool)
		const [oldest] = this.registrations.keys()
		if (this.registrations.size > maxRegistrations && oldest !== undefined)
			this.registrations.delete(oldest)
		this.applyRegistration()
	}

	private applyRegistration(): void {
		const pool = this.registrations.get(this.engineId)
		if (this.engineId === "" || pool === undefined) return
		this.isCertain = true
		if (pool !== "") this.pool = pool
	}
}
