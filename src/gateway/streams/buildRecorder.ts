/**
 * Keeps on the platform which builds each pool's streams may have begun at. Every
 * gateway reads the records when it starts; those that read the store themselves
 * write them when the builds change.
 */
import {
	type BuildRecord,
	BuildRecordPlan,
	type BuildRecordOptions
} from "../../policy/streams/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import {messageOf} from "../../utils/common.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {BuildStore} from "./buildStore.js"

export interface BuildRecorderOptions {
	fleet: FleetState
	/** Without a store nothing is known of builds that have left. */
	store: BuildStore | undefined
	plan: BuildRecordOptions
	/** Whether this gateway reads the store, and so writes to it. */
	isWriter: () => boolean
	log: DecisionLog
	/** Monotonic milliseconds. */
	now: () => number
}

/** Spares the store's calls while it fails. */
const retryDelayMs = 1000
/** No record on the platform. */
const absent: BuildRecord = {builds: [], era: 0, revision: 0}

export class BuildRecorder {
	private readonly plans = new Map<string, BuildRecordPlan>()
	private records: Map<string, BuildRecord> | undefined
	private isBusy = false
	private retryAt = Number.NEGATIVE_INFINITY

	constructor(private readonly options: BuildRecorderOptions) {}

	/** Whether no other build than this one can have begun a stream of the pool. */
	isSole(pool: string, build: string): boolean {
		const {store, fleet} = this.options
		if (store === undefined) return false
		const era = Math.max(store.era, fleet.era)
		return this.plans.get(pool)?.isSole(build, era) === true
	}

	/** Reads the records until that succeeds, then writes those that are not right. */
	tick(): void {
		const {store, now} = this.options
		if (store === undefined) return
		for (const [pool, builds] of this.listBuilds())
			this.getPlan(pool).observe(builds, now())
		if (this.isBusy || now() < this.retryAt) return
		this.isBusy = true
		void this.step(store)
			.catch((err: unknown) => {
				this.noteFailure(err, {})
			})
			.finally(() => {
				this.isBusy = false
			})
	}

	private noteFailure(err: unknown, fields: {pool?: string}): void {
		this.retryAt = this.options.now() + retryDelayMs
		const error = messageOf(err)
		this.options.log.decide("builds.failed", {...fields, error})
	}

	private async step(store: BuildStore): Promise<void> {
		if (this.records === undefined) {
			await this.read(store)
			return
		}
		if (!this.options.isWriter()) return
		for (const [pool, plan] of this.plans) {
			try {
				await this.write(store, pool, plan)
			} catch (err) {
				// The store may reject the record of one pool and take those of others.
				this.noteFailure(err, {pool})
			}
		}
	}

	private async write(
		store: BuildStore,
		pool: string,
		plan: BuildRecordPlan
	): Promise<void> {
		const builds = plan.plan(store.era, this.options.now())
		if (builds === undefined) return
		const written = await store.write(pool, builds, plan.revision)
		this.options.log.decide("builds.written", {
			pool,
			builds,
			isConflict: written === undefined
		})
		// Another gateway wrote; what it saw counts, too.
		if (written === undefined) await this.read(store)
		else plan.applyWritten(written)
	}

	private async read(store: BuildStore): Promise<void> {
		const {now} = this.options
		const records = await store.readAll()
		this.records = records
		const pools = new Set([...this.plans.keys(), ...records.keys()])
		for (const pool of pools)
			this.getPlan(pool).applyRead(records.get(pool) ?? absent, now())
	}

	private getPlan(pool: string): BuildRecordPlan {
		const known = this.plans.get(pool)
		if (known !== undefined) return known
		const plan = new BuildRecordPlan(this.options.plan)
		if (this.records !== undefined)
			plan.applyRead(this.records.get(pool) ?? absent, this.options.now())
		this.plans.set(pool, plan)
		return plan
	}

	/** Builds of the pools that a configuration has named; entries may name others. */
	private listBuilds(): Map<string, Set<string>> {
		const {fleet} = this.options
		const pools = new Map<string, Set<string>>()
		for (const {pool, build} of fleet.listEndpoints()) {
			if (fleet.getPool(pool) === undefined && !this.plans.has(pool)) continue
			const builds = pools.get(pool) ?? new Set()
			builds.add(build)
			pools.set(pool, builds)
		}
		return pools
	}
}
