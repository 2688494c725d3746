/**
 * The scheduler of one host's engines. It decides which request runs where,
 * and which adapter is loaded or evicted, so that few loads serve many requests
 * while late ones are not starved.
 */
import {admit, clampRetryAfterMs, getDrainMs} from "./admission.js"
import type {Backlog} from "./admission.js"
import {Estimates} from "./estimates.js"
import {FairShare} from "./fairShare.js"
import {LoadBudget} from "./loadBudget.js"
import {LoadFailures} from "./loadFailures.js"
import {LoadOrder} from "./loadOrder.js"
import {Popularity} from "./popularity.js"
import {
	Scheduler,
	SchedulerActionKind,
	SchedulerEventKind
} from "./scheduler.js"
import type {
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions,
	SchedulerSnapshot
} from "./scheduler.js"
import {
	choosePlacement,
	countFreeSeats,
	createWorker,
	isResident,
	SlotState
} from "./slots.js"
import type {Placement, PlacementQuery, Worker} from "./slots.js"
import {RefusalReason, RequestClass} from "./types.js"
import type {AdapterName, Draft} from "./types.js"
import {getRank, WaitQueue} from "./waitQueue.js"
import type {Waiting} from "./waitQueue.js"

/** Wanted adapters that are tried when the first can't be placed. */
const maxPlacementTries = 4
const placementRetryMs = 250
/** Part of a deferrable request's slack that remains when it is due. */
const dueShare = 0.2
const outageRetryMs = 1000
/** Popularity from which a lost adapter is reloaded without a request. */
const minReloadPopularity = 0.5

export class AdapterScheduler extends Scheduler {
	private readonly options: SchedulerOptions
	private readonly workers = new Map<string, Worker>()
	private readonly queue = new WaitQueue()
	private readonly popularity = new Popularity()
	private readonly estimates: Estimates
	private readonly budget: LoadBudget
	private readonly failures = new LoadFailures()
	private readonly fairShare: FairShare
	private readonly loadOrder: LoadOrder
	/** Adapters lost in a reset, most popular last. */
	private lost: AdapterName[] = []
	private nextLoad = 1
	private wakeAt = Infinity
	private actions: SchedulerAction[] = []

	constructor(options: SchedulerOptions) {
		super()
		this.options = options
		this.estimates = new Estimates(options)
		this.budget = new LoadBudget(options)
		this.fairShare = new FairShare(options.memberWeights)
		this.loadOrder = new LoadOrder(options.objective)
		for (const id of options.workers) {
			this.workers.set(id, createWorker(id, options.slots, options.seats))
		}
	}

	step(event: SchedulerEvent, now: number): SchedulerAction[] {
		this.actions = []
		this.handle(event, now)
		this.advanceTimers(now)
		this.startRuns(now)
		this.startLoads(now)
		this.scheduleWake(now)
		return this.actions
	}

	snapshot(): SchedulerSnapshot {
		const workers = [...this.workers.values()].filter(worker => worker.isUp)
		const slots = workers.flatMap(worker => [...worker.slots.values()])
		const namesIn = (state: SlotState): AdapterName[] => [
			...new Set(slots.filter(s => s.state === state).map(s => s.adapter))
		]
		return {
			running: sum(this.workers.values(), worker => worker.runs.size),
			queued: this.queue.size,
			resident: namesIn(SlotState.Resident),
			loading: namesIn(SlotState.Loading),
			loadDemand: this.loadOrder.size
		}
	}

	private handle(event: SchedulerEvent, now: number): void {
		switch (event.kind) {
			case SchedulerEventKind.Arrived:
				this.arrive(event.draft, now)
				return
			case SchedulerEventKind.Cancelled:
				this.cancel(event.id)
				return
			case SchedulerEventKind.LoadEnded:
				this.endLoad(event, now)
				return
			case SchedulerEventKind.RunEnded:
				this.endRun(event.worker, event.id, now)
				return
			case SchedulerEventKind.WorkerReset:
				this.resetWorker(event.worker, now)
				return
			case SchedulerEventKind.WorkerUp:
				this.setWorkerUp(event.worker, true)
				return
			case SchedulerEventKind.WorkerDown:
				this.setWorkerUp(event.worker, false)
				return
			case SchedulerEventKind.ShareUpdated:
				this.budget.setShare(event.share, now)
				return
			case SchedulerEventKind.Tick:
				this.wakeAt = Infinity
		}
	}

	// Arrival and the ends of requests

	private arrive(draft: Draft, now: number): void {
		this.popularity.add(draft.adapter, now)
		if (!this.hasWorker()) {
			this.pushRefusal(draft.id, RefusalReason.Overloaded, outageRetryMs)
			return
		}
		const backlog = this.getBacklog(draft)
		const verdict = admit(draft, backlog, now)
		if (!verdict.isAdmitted) {
			if (verdict.waitMs === 0) this.estimates.probe()
			const {retryAfterMs} = verdict
			this.pushRefusal(draft.id, RefusalReason.Deadline, retryAfterMs)
			return
		}
		const waiting = this.createWaiting(draft, backlog.serviceMs, now)
		if (!this.makeRoom(waiting, backlog)) return
		this.enqueue(waiting, now)
	}

	private createWaiting(draft: Draft, serviceMs: number, now: number): Waiting {
		const startBy = draft.deadline - serviceMs
		const slackMs = Math.max(0, startBy - now)
		const isDeferrable = draft.class === RequestClass.Deferrable
		const readyAt = now + slackMs * this.loadOrder.getHoldShare(isDeferrable)
		return {
			draft,
			rank: getRank(draft.class, draft.deadline),
			readyAt,
			dueAt: startBy - slackMs * dueShare,
			startBy,
			isHeld: isDeferrable && readyAt > now
		}
	}

	/** Refuses the request with least to lose when the queue is full. */
	private makeRoom(waiting: Waiting, backlog: Backlog): boolean {
		if (this.queue.size < this.options.maxQueued) return true
		const last = this.queue.last()
		const retryAfterMs = getDrainMs(backlog, 1)
		if (!last || last.rank <= waiting.rank) {
			const {id} = waiting.draft
			this.pushRefusal(id, RefusalReason.Overloaded, retryAfterMs)
			return false
		}
		this.refuse(last, RefusalReason.Overloaded, retryAfterMs)
		return true
	}

	private enqueue(waiting: Waiting, now: number): void {
		const {draft} = waiting
		this.estimates.addAdmitted(draft)
		const serviceMs = draft.deadline - waiting.startBy
		const seats = this.countSeats()
		const lagMs = this.fairShare.enter(draft.member, serviceMs, seats, now)
		waiting.rank += lagMs
		this.queue.add(waiting)
		this.refreshDemand(draft.adapter)
	}

	private cancel(id: string): void {
		const waiting = this.queue.get(id)
		if (waiting) {
			this.refuse(waiting, RefusalReason.Cancelled, 0)
			return
		}
		for (const worker of this.workers.values()) {
			const run = worker.runs.get(id)
			if (run) run.isCancelled = true
		}
	}

	private refuse(
		waiting: Waiting,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		this.leaveQueue(waiting)
		this.pushRefusal(waiting.draft.id, reason, retryAfterMs)
	}

	private leaveQueue(waiting: Waiting): void {
		this.queue.remove(waiting.draft.id)
		this.fairShare.leave(waiting.draft.member)
		this.refreshDemand(waiting.draft.adapter)
	}

	private pushRefusal(
		id: string,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		this.actions.push({
			kind: SchedulerActionKind.Refuse,
			id,
			reason,
			retryAfterMs
		})
	}

	private endRun(workerId: string, id: string, now: number): void {
		const worker = this.workers.get(workerId)
		const run = worker?.runs.get(id)
		if (!worker || !run) return
		worker.runs.delete(id)
		const slot = worker.slots.get(run.draft.adapter)
		if (slot) slot.pins -= 1
		if (!run.isCancelled) this.estimates.addRun(run.draft, now - run.startedAt)
	}

	// Workers

	private resetWorker(id: string, now: number): void {
		const worker = this.workers.get(id)
		if (!worker) return
		const adapters = [...worker.slots.keys()]
		for (const slot of worker.slots.values()) {
			if (slot.state === SlotState.Loading) this.budget.end()
		}
		worker.slots.clear()
		worker.runs.clear()
		this.rememberLost(adapters, now)
		adapters.forEach(adapter => {
			this.refreshDemand(adapter)
		})
	}

	private rememberLost(adapters: AdapterName[], now: number): void {
		const all = [...new Set([...this.lost, ...adapters])]
		const read = (adapter: AdapterName): number =>
			this.popularity.read(adapter, now)
		all.sort((a, b) => read(a) - read(b))
		this.lost = all.slice(-this.options.slots * this.workers.size)
	}

	private setWorkerUp(id: string, isUp: boolean): void {
		const worker = this.workers.get(id)
		if (!worker || worker.isUp === isUp) return
		worker.isUp = isUp
		for (const adapter of [...worker.slots.keys()]) {
			this.refreshDemand(adapter)
		}
		if (!this.hasWorker()) this.refuseImpatient()
	}

	/** Ends at once what other hosts may still serve in time. */
	private refuseImpatient(): void {
		for (const waiting of [...this.queue.all()]) {
			if (waiting.draft.class === RequestClass.Deferrable) continue
			this.refuse(waiting, RefusalReason.Overloaded, outageRetryMs)
		}
	}

	// Runs

	private advanceTimers(now: number): void {
		for (const waiting of this.queue.advance(now)) {
			this.refreshDemand(waiting.draft.adapter)
		}
		this.loadOrder.advance(now).forEach(adapter => {
			this.refreshDemand(adapter)
		})
		for (;;) {
			const late = this.queue.firstExpired(now)
			if (!late) return
			this.refuse(late, RefusalReason.Deadline, clampRetryAfterMs(0))
		}
	}

	private startRuns(now: number): void {
		for (const worker of this.workers.values()) {
			while (countFreeSeats(worker) > 0) {
				const waiting = this.chooseRun(worker)
				if (!waiting) break
				this.startRun(worker, waiting, now)
			}
		}
	}

	private chooseRun(worker: Worker): Waiting | undefined {
		let first: Waiting | undefined
		let held: Waiting | undefined
		let countHeld = 0
		for (const slot of worker.slots.values()) {
			if (slot.state !== SlotState.Resident) continue
			first = getFirst(first, this.queue.firstReady(slot.adapter))
			const next = this.queue.firstHeld(slot.adapter)
			held = getFirst(held, next)
			countHeld += this.queue.countHeld(slot.adapter)
		}
		if (first || !held) return first
		const batch = Math.min(worker.seats, worker.runs.size + countHeld)
		const isFull = batch >= this.loadOrder.getFillTarget(worker.seats)
		const isSlotWanted = this.loadOrder.size > 0
		const isTimely = isFull || isSlotWanted || this.hasCompany(worker, held)
		return isTimely ? held : undefined
	}

	/** True when the adapter was loaded for the group of `held`. */
	private hasCompany(worker: Worker, held: Waiting): boolean {
		const slot = worker.slots.get(held.draft.adapter)
		return slot !== undefined && slot.loadedAt > held.draft.arrivedAt
	}

	private startRun(worker: Worker, waiting: Waiting, now: number): void {
		const {draft} = waiting
		const slot = worker.slots.get(draft.adapter)
		if (!slot) return
		this.leaveQueue(waiting)
		slot.pins += 1
		worker.runs.set(draft.id, {draft, startedAt: now, isCancelled: false})
		this.actions.push({
			kind: SchedulerActionKind.Run,
			worker: worker.id,
			id: draft.id,
			loadStallMs: this.getLoadStallMs(draft)
		})
	}

	/** Time from the arrival until any copy of the adapter was resident. */
	private getLoadStallMs(draft: Draft): number {
		let residentAt = Infinity
		for (const worker of this.workers.values()) {
			if (!worker.isUp || !isResident(worker, draft.adapter)) continue
			const loadedAt = worker.slots.get(draft.adapter)?.loadedAt ?? Infinity
			residentAt = Math.min(residentAt, loadedAt)
		}
		return Math.max(0, residentAt - draft.arrivedAt)
	}

	// Loads

	private startLoads(now: number): void {
		const skipped: AdapterName[] = []
		while (this.budget.canStart(now) && skipped.length < maxPlacementTries) {
			const adapter = this.loadOrder.next({
				skipped,
				isIdle: this.budget.isIdle(now),
				loadsPerSecond: this.budget.loadsPerSecond,
				now
			})
			if (adapter === undefined) break
			if (this.refuseHopeless(adapter, now)) continue
			if (!this.tryLoad(adapter, now)) skipped.push(adapter)
		}
		this.loadOrder.restore()
		this.startReplicas(now)
		this.reloadLost(now)
	}

	/** Refuses what would be late after a load; true when nothing is left. */
	private refuseHopeless(adapter: AdapterName, now: number): boolean {
		const loadedAt = now + this.estimates.loadMs
		for (const waiting of this.queue.requestsOf(adapter)) {
			if (waiting.startBy >= loadedAt) continue
			this.refuse(waiting, RefusalReason.Deadline, clampRetryAfterMs(0))
		}
		return this.queue.count(adapter) === 0
	}

	private tryLoad(adapter: AdapterName, now: number): boolean {
		const query = this.createPlacementQuery(adapter, now)
		const placement = choosePlacement(this.workers.values(), query)
		if (!placement) return false
		this.startLoad(adapter, placement, now)
		return true
	}

	private createPlacementQuery(
		adapter: AdapterName,
		now: number
	): PlacementQuery {
		return {
			adapter,
			popularity: name => this.popularity.read(name, now),
			rankOf: name => this.getFirstWaiting(name)?.rank,
			hasFailedOn: worker => this.failures.hasFailedOn(adapter, worker)
		}
	}

	private getFirstWaiting(adapter: AdapterName): Waiting | undefined {
		return this.queue.firstReady(adapter) ?? this.queue.firstHeld(adapter)
	}

	private startLoad(
		adapter: AdapterName,
		{worker, evict}: Placement,
		now: number
	): void {
		if (evict) worker.slots.delete(evict.adapter)
		const load = this.nextLoad++
		worker.slots.set(adapter, {
			adapter,
			state: SlotState.Loading,
			pins: 0,
			loadedAt: Infinity,
			load
		})
		this.budget.start(now)
		this.refreshDemand(adapter)
		if (evict) this.refreshDemand(evict.adapter)
		this.actions.push({
			kind: SchedulerActionKind.Load,
			worker: worker.id,
			adapter,
			evict: evict?.adapter,
			load
		})
	}

	private endLoad(
		event: SchedulerEvent & {kind: SchedulerEventKind.LoadEnded},
		now: number
	): void {
		const {adapter} = event
		const worker = this.workers.get(event.worker)
		const slot = worker?.slots.get(adapter)
		if (!worker || slot?.state !== SlotState.Loading) return
		if (event.load !== undefined && event.load !== slot.load) return
		this.budget.end()
		if (event.ok) {
			slot.state = SlotState.Resident
			slot.loadedAt = now
			this.failures.clear(adapter)
			this.estimates.addLoad(event.tookMs)
			return
		}
		worker.slots.delete(adapter)
		this.failLoad(adapter, worker, now)
	}

	private failLoad(adapter: AdapterName, worker: Worker, now: number): void {
		const others = [...this.workers.values()].filter(other => other.isUp)
		const isHopeless = this.failures.add(adapter, worker.id, others, now)
		const retryAt = this.failures.retryAt(adapter)
		if (isHopeless && !this.hasCopy(adapter)) {
			for (const waiting of this.queue.requestsOf(adapter)) {
				const retryAfterMs = clampRetryAfterMs(retryAt - now)
				this.refuse(waiting, RefusalReason.LoadFailed, retryAfterMs)
			}
		}
		this.loadOrder.block(adapter, retryAt)
		this.refreshDemand(adapter)
	}

	/** Loads a second copy where seats are the limit of the first. */
	private startReplicas(now: number): void {
		if (this.workers.size < 2 || this.loadOrder.hasUrgent()) return
		const hasFreeSeat = [...this.workers.values()].some(
			worker => countFreeSeats(worker) > 0
		)
		if (!hasFreeSeat) return
		for (const adapter of this.findSeatBound()) {
			if (!this.budget.canStart(now)) return
			this.tryLoad(adapter, now)
		}
	}

	/** Adapters whose queue takes longer to run than a load takes. */
	private findSeatBound(): Set<AdapterName> {
		const found = new Set<AdapterName>()
		for (const worker of this.workers.values()) {
			if (!worker.isUp || countFreeSeats(worker) > 0) continue
			for (const {adapter} of worker.slots.values()) {
				if (this.isSeatBound(adapter)) found.add(adapter)
			}
		}
		return found
	}

	private isSeatBound(adapter: AdapterName): boolean {
		const first = this.queue.firstReady(adapter)
		if (!first || this.isLoading(adapter)) return false
		const serviceMs = this.estimates.typicalServiceMs(first.draft)
		const waitMs = (this.queue.count(adapter) * serviceMs) / this.options.seats
		return waitMs > this.estimates.loadMs
	}

	/** Uses idle share to bring back what a cold restart lost. */
	private reloadLost(now: number): void {
		while (this.lost.length > 0 && this.canReload(now)) {
			const adapter = this.lost.pop()
			if (adapter === undefined || this.hasCopy(adapter)) continue
			if (this.popularity.read(adapter, now) < minReloadPopularity) continue
			const query = this.createPlacementQuery(adapter, now)
			const placement = choosePlacement(this.workers.values(), query)
			if (!placement || placement.evict) return
			this.startLoad(adapter, placement, now)
		}
	}

	private canReload(now: number): boolean {
		return !this.loadOrder.hasUrgent() && this.budget.isIdle(now)
	}

	// State of adapters

	/** Files the adapter under what its queue needs now. */
	private refreshDemand(adapter: AdapterName): void {
		const count = this.queue.count(adapter)
		if (count === 0 || this.hasCopy(adapter)) {
			this.loadOrder.delete(adapter)
			return
		}
		const first = this.queue.firstReady(adapter)
		const isUrgent = first !== undefined && isUrgentRank(first.rank)
		const readyAt = isUrgent ? first.readyAt : this.queue.readyAt(adapter)
		this.loadOrder.set({adapter, count, readyAt, isUrgent})
	}

	private hasCopy(adapter: AdapterName): boolean {
		for (const worker of this.workers.values()) {
			if (worker.isUp && worker.slots.has(adapter)) return true
		}
		return false
	}

	private isLoading(adapter: AdapterName): boolean {
		for (const worker of this.workers.values()) {
			if (!worker.isUp) continue
			if (worker.slots.get(adapter)?.state === SlotState.Loading) return true
		}
		return false
	}

	private hasWorker(): boolean {
		for (const worker of this.workers.values()) if (worker.isUp) return true
		return false
	}

	private countSeats(): number {
		return sum(this.workers.values(), worker =>
			worker.isUp ? worker.seats : 0
		)
	}

	private getBacklog(draft: Draft): Backlog {
		const workers = [...this.workers.values()].filter(worker => worker.isUp)
		const {adapter} = draft
		const isDeferrable = draft.class === RequestClass.Deferrable
		return {
			seats: this.countSeats(),
			freeSeats: sum(workers, countFreeSeats),
			runnable: sum(workers, worker => this.countRunnable(worker)),
			loadsAhead: this.loadOrder.countAhead(adapter, isDeferrable),
			loadsPerSecond: this.budget.loadsPerSecond,
			loadMs: this.estimates.loadMs,
			maxLoadWaitShare: this.loadOrder.getMaxWaitShare(isDeferrable),
			isResident: workers.some(worker => isResident(worker, adapter)),
			isLoading: this.isLoading(adapter),
			serviceMs: this.estimates.serviceMs(draft),
			typicalServiceMs: this.estimates.typicalServiceMs(draft)
		}
	}

	private countRunnable(worker: Worker): number {
		return sum(worker.slots.values(), slot =>
			slot.state === SlotState.Resident
				? this.queue.count(slot.adapter) - this.queue.countHeld(slot.adapter)
				: 0
		)
	}

	private scheduleWake(now: number): void {
		const at = Math.max(now + 1, this.getNextAt(now))
		const isPending = this.wakeAt > now && this.wakeAt <= at
		if (at === Infinity || isPending) return
		this.wakeAt = at
		this.actions.push({kind: SchedulerActionKind.Wake, at})
	}

	private getNextAt(now: number): number {
		const timerAt = Math.min(this.queue.nextAt(), this.loadOrder.nextAt())
		return Math.min(timerAt, this.getNextLoadAt(now))
	}

	private getNextLoadAt(now: number): number {
		const isWanted = this.loadOrder.size > 0 || this.lost.length > 0
		if (!isWanted) return Infinity
		const at = this.budget.nextAt(now) ?? Infinity
		if (at > now) return at
		const idleAt = this.budget.nextIdleAt(now) ?? Infinity
		const retryAt = now + placementRetryMs
		return idleAt > now ? Math.min(idleAt, retryAt) : retryAt
	}
}

/** True for requests that don't give way, or no longer do. */
function isUrgentRank(rank: number): boolean {
	return rank < getRank(RequestClass.Deferrable, 0)
}

function getFirst(
	a: Waiting | undefined,
	b: Waiting | undefined
): Waiting | undefined {
	if (!a || !b) return a ?? b
	return b.rank < a.rank ? b : a
}

function sum<T>(items: Iterable<T>, measure: (item: T) => number): number {
	let total = 0
	for (const item of items) total += measure(item)
	return total
}
