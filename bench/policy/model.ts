/**
 * Simulates routers and schedulers on a virtual clock, with models of the
 * engines and of the weight store. It models only what the decisions depend on:
 * no network, processes or membership, just fixed delays of requests and reports.
 */
import {
	DemandLoadShares,
	FixedLoadShares,
	RefusalReason,
	RequestClass,
	RetryBudget,
	SchedulerActionKind,
	SchedulerEventKind
} from "../../src/policy/index.js"
import type {
	Draft,
	EndpointView,
	LoadShares,
	Router,
	RouteQuery,
	Scheduler,
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions
} from "../../src/policy/index.js"
import {RunMeasurements} from "./measures.js"
import {createRandom, drawExponential, Zipf} from "./random.js"
import type {Scenario} from "./scenarios.js"
import {VirtualClock} from "./virtualClock.js"

/** A combination of router, scheduler and load shares to compare. */
export interface PolicyVariant {
	name: string
	createRouter: (serviceMs: number) => Router
	createScheduler: (options: SchedulerOptions) => Scheduler
	hasFixedShares: boolean
}

interface Host {
	id: string
	scheduler: Scheduler
	shares: LoadShares
	/** When each resident adapter's load ended. */
	residentSince: Map<string, number>
	running: number
	nextTickAt: number
	/** Cold restarts; ends of runs and loads that began before the last are ignored. */
	restarts: number
}

interface Entry {
	router: Router
	budget: RetryBudget
	views: EndpointView[]
}

interface Request {
	draft: Draft
	entry: Entry
	triedHostIds: Set<string>
	tokens: number
}

const reportIntervalMs = 500
const reportDelayMs = 100
const sendDelayMs = 2
const minTokens = 50
const maxTokens = 250
const memberCount = 200
const failureDomainCount = 4

export class PolicyModel {
	readonly measures: RunMeasurements
	private readonly clock = new VirtualClock()
	private readonly random: () => number
	private readonly zipf: Zipf
	private readonly hosts: Host[]
	private readonly entries: Entry[]
	private readonly requests = new Map<string, Request>()
	private popularityOffset = 0
	private nextId = 0
	private nextLoadStartAt = 0
	private loadsInFlight = 0

	constructor(
		private readonly scenario: Scenario,
		private readonly policy: PolicyVariant,
		seed: number
	) {
		this.random = createRandom(seed)
		this.zipf = new Zipf(scenario.adapters)
		this.measures = new RunMeasurements(scenario)
		this.hosts = Array.from({length: scenario.engines}, (_, index) =>
			this.createHost(`host-${index}`)
		)
		this.entries = Array.from({length: scenario.entries}, () =>
			this.createEntry()
		)
	}

	run(): RunMeasurements {
		const {durationMs, popularityShiftsAt, coldRestartsAt} = this.scenario
		this.scheduleNextArrival()
		this.publishReports()
		for (const at of popularityShiftsAt)
			this.clock.schedule(at, () => (this.popularityOffset += 500))
		for (const {at, engine} of coldRestartsAt) {
			this.clock.schedule(at, () => {
				this.restartCold(engine)
			})
		}
		this.clock.run(durationMs)
		return this.measures
	}

	private createHost(id: string): Host {
		const {slots, seats, objective, msPerToken, store} = this.scenario
		const limits = {limits: store, processes: this.scenario.engines}
		const shares = this.policy.hasFixedShares
			? new FixedLoadShares(limits)
			: new DemandLoadShares(limits)
		const scheduler = this.policy.createScheduler({
			workers: [id],
			slots,
			seats,
			objective,
			share: shares.getShare(0),
			msPerToken,
			loadMs: store.loadMs,
			maxQueued: 5000
		})
		const residentSince = new Map<string, number>()
		const state = {running: 0, nextTickAt: Infinity, restarts: 0}
		return {id, scheduler, shares, residentSince, ...state}
	}

	private createEntry(): Entry {
		const {slots, seats, store, msPerToken} = this.scenario
		const meanTokens = (minTokens + maxTokens) / 2
		return {
			router: this.policy.createRouter(meanTokens * msPerToken),
			budget: new RetryBudget(),
			views: this.hosts.map((host, index) => ({
				id: host.id,
				failureDomain: `domain-${index % failureDomainCount}`,
				admitting: true,
				workers: 1,
				seats,
				slots,
				resident: new Set<string>(),
				loading: new Set<string>(),
				running: 0,
				queued: 0,
				unreportedOwnRequests: 0,
				loadMs: store.loadMs
			}))
		}
	}

	// Requests

	private scheduleNextArrival(): void {
		const {now} = this.clock
		const rate = this.scenario.rates.findLast(({at}) => at <= now)
		const meanMs = 1000 / (rate?.perSecond ?? 1)
		const at = now + drawExponential(this.random, meanMs)
		this.clock.schedule(at, () => {
			this.createRequest()
			this.scheduleNextArrival()
		})
	}

	private createRequest(): void {
		const {now} = this.clock
		const {scenario, random} = this
		const isDeferrable = random() < scenario.deferrableShare
		const windowMs = isDeferrable
			? scenario.deferrableWindowMs
			: scenario.interactiveWindowMs
		const rank = this.zipf.draw(random)
		const adapter = (rank + this.popularityOffset) % scenario.adapters
		const tokenRange = maxTokens - minTokens
		const tokens = Math.floor(minTokens + tokenRange * random())
		const entry = this.entries[Math.floor(random() * this.entries.length)]
		if (!entry) return
		const draft = {
			id: `request-${this.nextId++}`,
			adapter: `base:adapter-${adapter}@1`,
			member: `member-${Math.floor(random() * memberCount)}`,
			class: isDeferrable ? RequestClass.Deferrable : RequestClass.Interactive,
			deadline: now + windowMs,
			arrivedAt: now,
			maxTokens,
			prefixHash: 0
		}
		const request = {draft, entry, triedHostIds: new Set<string>(), tokens}
		this.requests.set(draft.id, request)
		this.measures.recordArrival(now)
		entry.budget.addRequest(now)
		this.sendRequest(request)
	}

	private sendRequest(request: Request): void {
		const {draft, entry, triedHostIds} = request
		const {adapter, member, deadline, prefixHash} = draft
		const query: RouteQuery = {
			adapter,
			class: draft.class,
			member,
			deadline,
			prefixHash,
			excluded: triedHostIds,
			failureDomain: "domain-0"
		}
		const {now} = this.clock
		const [id] = entry.router.choose(query, entry.views, now, this.random())
		const host = this.hosts.find(candidate => candidate.id === id)
		const view = entry.views.find(candidate => candidate.id === id)
		if (!host || !view) {
			this.dropRequest(request)
			return
		}
		triedHostIds.add(host.id)
		view.unreportedOwnRequests += 1
		this.clock.schedule(now + sendDelayMs, () => {
			this.stepScheduler(host, {kind: SchedulerEventKind.Arrived, draft})
		})
	}

	private dropRequest(request: Request): void {
		this.requests.delete(request.draft.id)
		this.measures.recordRefusal(request.draft)
	}

	// Engines and the weight store

	private stepScheduler(host: Host, event: SchedulerEvent): void {
		const {now} = this.clock
		for (const action of host.scheduler.step(event, now)) {
			this.performAction(host, action)
		}
	}

	private performAction(host: Host, action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Run:
				this.startRun(host, action.id)
				return
			case SchedulerActionKind.Load:
				this.startLoad(host, action)
				return
			case SchedulerActionKind.Refuse:
				this.handleRefusal(action.id, action.reason)
				return
			case SchedulerActionKind.Wake:
				this.scheduleTick(host, action.at)
		}
	}

	/** Schedules a tick unless an earlier one is due; a later one is replaced. */
	private scheduleTick(host: Host, at: number): void {
		if (host.nextTickAt > this.clock.now && host.nextTickAt <= at) return
		host.nextTickAt = at
		this.clock.schedule(at, () => {
			if (host.nextTickAt !== at) return
			host.nextTickAt = Infinity
			this.stepScheduler(host, {kind: SchedulerEventKind.Tick})
		})
	}

	private handleRefusal(id: string, reason: RefusalReason): void {
		const request = this.requests.get(id)
		if (!request) return
		const isRetryable = reason !== RefusalReason.Cancelled
		const isFirstAttempt = request.triedHostIds.size === 1
		if (
			isRetryable &&
			isFirstAttempt &&
			request.entry.budget.tryRetry(this.clock.now)
		)
			this.sendRequest(request)
		else this.dropRequest(request)
	}

	private startRun(host: Host, id: string): void {
		const request = this.requests.get(id)
		if (!request) return
		const {now} = this.clock
		const {draft, tokens} = request
		const residentSince = host.residentSince.get(draft.adapter) ?? Infinity
		const stallMs = Math.max(0, residentSince - draft.arrivedAt)
		this.setRunning(host, host.running + 1)
		const {restarts} = host
		this.clock.schedule(now + tokens * this.scenario.msPerToken, () => {
			if (host.restarts !== restarts) return
			this.setRunning(host, host.running - 1)
			this.requests.delete(id)
			this.measures.recordAnswer(draft, stallMs, this.clock.now)
			const kind = SchedulerEventKind.RunEnded
			this.stepScheduler(host, {kind, worker: host.id, id})
		})
	}

	private setRunning(host: Host, running: number): void {
		this.measures.addBatchTime(host.id, host.running, this.clock.now)
		host.running = running
	}

	private startLoad(
		host: Host,
		action: SchedulerAction & {kind: SchedulerActionKind.Load}
	): void {
		const {now} = this.clock
		const {adapter, evict, load} = action
		if (evict !== undefined) host.residentSince.delete(evict)
		this.measures.recordLoad(now)
		const {store, loadFailureShare} = this.scenario
		const startAt = Math.max(now, this.nextLoadStartAt)
		this.nextLoadStartAt = startAt + 1000 / store.loadsPerSecond
		this.loadsInFlight += 1
		const slowdown = Math.max(1, this.loadsInFlight / store.inFlight)
		const endAt = startAt + store.loadMs * slowdown
		const ok = this.random() >= loadFailureShare
		const {restarts} = host
		this.clock.schedule(endAt, () => {
			this.loadsInFlight -= 1
			if (host.restarts !== restarts) return
			const tookMs = endAt - now
			if (ok) host.residentSince.set(adapter, endAt)
			if (ok) host.shares.addLoad(tookMs, endAt)
			const kind = SchedulerEventKind.LoadEnded
			const echo = load === undefined ? {} : {load}
			this.stepScheduler(host, {
				kind,
				worker: host.id,
				adapter,
				ok,
				tookMs,
				...echo
			})
		})
	}

	private restartCold(index: number): void {
		const host = this.hosts[index]
		if (!host) return
		this.setRunning(host, 0)
		host.restarts += 1
		host.residentSince.clear()
		this.stepScheduler(host, {
			kind: SchedulerEventKind.WorkerReset,
			worker: host.id
		})
	}

	// Reports

	private publishReports(): void {
		const {now} = this.clock
		const reports = this.hosts.map(host => host.scheduler.snapshot(now))
		this.clock.schedule(now + reportDelayMs, () => {
			reports.forEach((report, index) => {
				for (const entry of this.entries) {
					const view = entry.views[index]
					if (!view) continue
					view.running = report.running
					view.queued = report.queued
					view.resident = new Set(report.resident)
					view.loading = new Set(report.loading)
					view.unreportedOwnRequests = 0
				}
			})
			this.updateLoadShares(reports.map(report => report.loadDemand))
		})
		this.clock.schedule(now + reportIntervalMs, () => {
			this.publishReports()
		})
	}

	private updateLoadShares(demands: number[]): void {
		const {now} = this.clock
		const total = demands.reduce((sum, demand) => sum + demand, 0)
		const demanding = demands.filter(demand => demand > 0).length
		this.hosts.forEach((host, index) => {
			const own = demands[index] ?? 0
			host.shares.setDemand(own)
			const fleet = {
				entry: "entry",
				demand: total - own,
				demanding: demanding - (own > 0 ? 1 : 0)
			}
			host.shares.addFleetDemand(fleet, now)
			const share = host.shares.getShare(now)
			this.stepScheduler(host, {kind: SchedulerEventKind.ShareUpdated, share})
		})
	}
}
