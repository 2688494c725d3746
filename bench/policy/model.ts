/**
 * Drives routers and schedulers under a virtual clock against fakes of the
 * engines and of the weight store. There is no network, no process and no
 * membership: only what the decisions depend on.
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
import {Measures} from "./measures.js"
import {createRandom, drawExponential, Zipf} from "./random.js"
import type {Scenario} from "./scenarios.js"
import {VirtualClock} from "./virtualClock.js"

/** A combination of parts under comparison. */
export interface Policy {
	name: string
	createRouter: (serviceMs: number) => Router
	createScheduler: (options: SchedulerOptions) => Scheduler
	hasFixedShares: boolean
}

interface Host {
	id: string
	scheduler: Scheduler
	shares: LoadShares
	/** Times since which adapters have been resident. */
	residentAt: Map<string, number>
	running: number
	wakeAt: number
	/** Counts cold restarts, so that earlier ends are ignored. */
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
	tried: Set<string>
	tokens: number
}

const reportMs = 500
const reportLagMs = 100
const hopMs = 2
const minTokens = 50
const maxTokens = 250
const members = 200
const failureDomains = 4

export class PolicyModel {
	readonly measures: Measures
	private readonly clock = new VirtualClock()
	private readonly random: () => number
	private readonly zipf: Zipf
	private readonly hosts: Host[]
	private readonly entries: Entry[]
	private readonly requests = new Map<string, Request>()
	private shift = 0
	private nextId = 0
	private nextStoreAt = 0
	private storeInFlight = 0

	constructor(
		private readonly scenario: Scenario,
		private readonly policy: Policy,
		seed: number
	) {
		this.random = createRandom(seed)
		this.zipf = new Zipf(scenario.adapters)
		this.measures = new Measures(scenario)
		this.hosts = Array.from({length: scenario.engines}, (_, index) =>
			this.createHost(`host-${index}`)
		)
		this.entries = Array.from({length: scenario.entries}, () =>
			this.createEntry()
		)
	}

	run(): Measures {
		const {durationMs, shiftsAt, resetsAt} = this.scenario
		this.arriveNext()
		this.report()
		for (const at of shiftsAt) this.clock.at(at, () => (this.shift += 500))
		for (const {at, engine} of resetsAt) {
			this.clock.at(at, () => {
				this.reset(engine)
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
		const residentAt = new Map<string, number>()
		const state = {running: 0, wakeAt: Infinity, restarts: 0}
		return {id, scheduler, shares, residentAt, ...state}
	}

	private createEntry(): Entry {
		const {slots, seats, store, msPerToken} = this.scenario
		const meanTokens = (minTokens + maxTokens) / 2
		return {
			router: this.policy.createRouter(meanTokens * msPerToken),
			budget: new RetryBudget(),
			views: this.hosts.map((host, index) => ({
				id: host.id,
				failureDomain: `domain-${index % failureDomains}`,
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

	private arriveNext(): void {
		const {now} = this.clock
		const rate = this.scenario.rates.findLast(({at}) => at <= now)
		const meanMs = 1000 / (rate?.perSecond ?? 1)
		const at = now + drawExponential(this.random, meanMs)
		this.clock.at(at, () => {
			this.arrive()
			this.arriveNext()
		})
	}

	private arrive(): void {
		const {now} = this.clock
		const {scenario, random} = this
		const isDeferrable = random() < scenario.deferrableShare
		const windowMs = isDeferrable
			? scenario.deferrableWindowMs
			: scenario.interactiveWindowMs
		const rank = this.zipf.draw(random)
		const adapter = (rank + this.shift) % scenario.adapters
		const spread = maxTokens - minTokens
		const tokens = Math.floor(minTokens + spread * random())
		const entry = this.entries[Math.floor(random() * this.entries.length)]
		if (!entry) return
		const draft = {
			id: `request-${this.nextId++}`,
			adapter: `base:adapter-${adapter}@1`,
			member: `member-${Math.floor(random() * members)}`,
			class: isDeferrable ? RequestClass.Deferrable : RequestClass.Interactive,
			deadline: now + windowMs,
			arrivedAt: now,
			maxTokens,
			prefixHash: 0
		}
		const request = {draft, entry, tried: new Set<string>(), tokens}
		this.requests.set(draft.id, request)
		this.measures.arrive(now)
		entry.budget.addRequest(now)
		this.send(request)
	}

	private send(request: Request): void {
		const {draft, entry, tried} = request
		const {adapter, member, deadline, prefixHash} = draft
		const query: RouteQuery = {
			adapter,
			class: draft.class,
			member,
			deadline,
			prefixHash,
			excluded: tried,
			failureDomain: "domain-0"
		}
		const {now} = this.clock
		const [id] = entry.router.choose(query, entry.views, now, this.random())
		const host = this.hosts.find(candidate => candidate.id === id)
		const view = entry.views.find(candidate => candidate.id === id)
		if (!host || !view) {
			this.fail(request)
			return
		}
		tried.add(host.id)
		view.unreportedOwnRequests += 1
		this.clock.at(now + hopMs, () => {
			this.step(host, {kind: SchedulerEventKind.Arrived, draft})
		})
	}

	private fail(request: Request): void {
		this.requests.delete(request.draft.id)
		this.measures.refuse(request.draft)
	}

	// Engines and the weight store

	private step(host: Host, event: SchedulerEvent): void {
		const {now} = this.clock
		for (const action of host.scheduler.step(event, now)) {
			this.perform(host, action)
		}
	}

	private perform(host: Host, action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Run:
				this.startRun(host, action.id)
				return
			case SchedulerActionKind.Load:
				this.startLoad(host, action)
				return
			case SchedulerActionKind.Refuse:
				this.refuse(action.id, action.reason)
				return
			case SchedulerActionKind.Wake:
				this.wake(host, action.at)
		}
	}

	/** Keeps one timer a host, the earliest. */
	private wake(host: Host, at: number): void {
		if (host.wakeAt > this.clock.now && host.wakeAt <= at) return
		host.wakeAt = at
		this.clock.at(at, () => {
			if (host.wakeAt !== at) return
			host.wakeAt = Infinity
			this.step(host, {kind: SchedulerEventKind.Tick})
		})
	}

	private refuse(id: string, reason: RefusalReason): void {
		const request = this.requests.get(id)
		if (!request) return
		const mayRetry = reason !== RefusalReason.Cancelled
		const isFirst = request.tried.size === 1
		if (mayRetry && isFirst && request.entry.budget.tryRetry(this.clock.now))
			this.send(request)
		else this.fail(request)
	}

	private startRun(host: Host, id: string): void {
		const request = this.requests.get(id)
		if (!request) return
		const {now} = this.clock
		const {draft, tokens} = request
		const residentAt = host.residentAt.get(draft.adapter) ?? Infinity
		const stallMs = Math.max(0, residentAt - draft.arrivedAt)
		this.setRunning(host, host.running + 1)
		const {restarts} = host
		this.clock.at(now + tokens * this.scenario.msPerToken, () => {
			if (host.restarts !== restarts) return
			this.setRunning(host, host.running - 1)
			this.requests.delete(id)
			this.measures.answer(draft, stallMs, this.clock.now)
			const kind = SchedulerEventKind.RunEnded
			this.step(host, {kind, worker: host.id, id})
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
		if (evict !== undefined) host.residentAt.delete(evict)
		this.measures.load(now)
		const {store, loadFailureShare} = this.scenario
		const startAt = Math.max(now, this.nextStoreAt)
		this.nextStoreAt = startAt + 1000 / store.loadsPerSecond
		this.storeInFlight += 1
		const slowdown = Math.max(1, this.storeInFlight / store.inFlight)
		const endAt = startAt + store.loadMs * slowdown
		const ok = this.random() >= loadFailureShare
		const {restarts} = host
		this.clock.at(endAt, () => {
			this.storeInFlight -= 1
			if (host.restarts !== restarts) return
			const tookMs = endAt - now
			if (ok) host.residentAt.set(adapter, endAt)
			if (ok) host.shares.addLoad(tookMs, endAt)
			const kind = SchedulerEventKind.LoadEnded
			const echo = load === undefined ? {} : {load}
			this.step(host, {kind, worker: host.id, adapter, ok, tookMs, ...echo})
		})
	}

	private reset(index: number): void {
		const host = this.hosts[index]
		if (!host) return
		this.setRunning(host, 0)
		host.restarts += 1
		host.residentAt.clear()
		this.step(host, {kind: SchedulerEventKind.WorkerReset, worker: host.id})
	}

	// Reports

	private report(): void {
		const {now} = this.clock
		const reports = this.hosts.map(host => host.scheduler.snapshot(now))
		this.clock.at(now + reportLagMs, () => {
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
			this.share(reports.map(report => report.loadDemand))
		})
		this.clock.at(now + reportMs, () => {
			this.report()
		})
	}

	private share(demands: number[]): void {
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
			this.step(host, {kind: SchedulerEventKind.ShareUpdated, share})
		})
	}
}
