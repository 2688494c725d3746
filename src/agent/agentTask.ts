/**
 * The agent process that runs on the host of an engine. It alone sends load and
 * unload orders to the engine, and it owns the queue of requests for the engine:
 * gateways ask it for grants and send granted requests directly to the engine.
 */
import {create} from "@bufbuild/protobuf"
import type * as grpc from "@grpc/grpc-js"
import {ulid} from "ulid"
import type {
	Ask,
	GatewayMessage,
	Hello,
	LeavingNotice,
	LimitNotice,
	CrashNotice
} from "../contract/gen/grants_pb.js"
import {
	EngineCheckSchema,
	OriginAnswerSchema,
	RefuseReason,
	RefuseSchema
} from "../contract/gen/grants_pb.js"
import {startGrantServer} from "../link/fleetLink.js"
import type {TlsKeys} from "../link/tls.js"
import {bindWhenFree} from "../program/bindWhenFree.js"
import {
	CrashNotices,
	isNotice,
	LeavingNotices,
	LimitNotices,
	type Notice,
	NoticeBoard,
	TrialNotices
} from "../notices/index.js"
import {CrashRecords} from "../policy/crashes/index.js"
import {
	EnginePool,
	GrantDecisionKind,
	type GrantRequest,
	GrantScheduler,
	type GrantSchedulerView,
	type GrantDecision,
	GrantRefusalReason
} from "../policy/grants/index.js"
import {StatedLimits} from "../policy/limits/index.js"
import type {QuotaBounds} from "../policy/quotas/index.js"
import {StreamOrigins} from "../policy/streams/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {messageOf} from "../utils/common.js"
import {EngineLoop} from "./engineLoop.js"
import type {EnginePort, FencingTokenSource} from "./enginePort.js"
import {GatewayLinks} from "./gatewayLinks.js"
import type {LeaseStore} from "./leaseStore.js"
import {PermitDesk} from "./permitDesk.js"
import {QuotaDesk} from "./quotaDesk.js"

export interface AgentQuotaOptions {
	/** Leases of the parts of the quotas. */
	leases: LeaseStore
	bounds: QuotaBounds
	/** Host name; a process on it may replace the one before at once. */
	host: string
}

export interface AgentTaskOptions {
	/** `ip:port` at which gateways connect. */
	address: string
	engine: EnginePort
	/** Pool of the engine, as the settings name it; undefined if they don't. */
	pool?: string | undefined
	/**
	 * Shortest time from the end of an engine until another one gets its address,
	 * milliseconds; 2000 by default.
	 */
	reuseAfterMs?: number
	fencingTokens: FencingTokenSource
	leases: LeaseStore
	/** Needed if the configuration may contain quotas. */
	quotas?: AgentQuotaOptions
	log: DecisionLog
	tls?: TlsKeys | undefined
	/** Monotonic milliseconds. */
	now?: () => number
	random?: () => number
}

/**
 * Interval of checking the deadlines of queued requests, and longest delay of the
 * state after a change.
 */
const activeTickMs = 50
/** Interval of checking heartbeats while nothing changes. */
const idleTickMs = 300
/** Several times the streams that one engine begins while callers may resume them. */
const maxKnownOrigins = 20_000
const defaultReuseAfterMs = 2000

export class AgentTask {
	private readonly scheduler: GrantScheduler
	private readonly links: GatewayLinks
	private readonly now: () => number
	private readonly origins = new StreamOrigins(maxKnownOrigins)
	/** Limits of endpoints, as gateways heard them. */
	private readonly limits = new StatedLimits()
	private readonly crashes = new CrashRecords()
	/** Facts that gateways told this agent, to be passed on to their others. */
	private readonly notices: NoticeBoard
	private readonly permits: PermitDesk
	private readonly quotas: QuotaDesk | undefined
	private readonly pool: EnginePool
	/** What each gateway stated last of the engine that it connected for. */
	private readonly hellos = new Map<string, Hello>()
	private server: grpc.Server | undefined
	private readonly loop: EngineLoop
	private timer: NodeJS.Timeout | undefined
	private readonly stopping = new AbortController()
	private tickAt = Number.POSITIVE_INFINITY

	constructor(private readonly options: AgentTaskOptions) {
		this.now = options.now ?? (() => performance.now())
		this.scheduler = new GrantScheduler({random: options.random ?? Math.random})
		const {pool, reuseAfterMs = defaultReuseAfterMs} = options
		this.pool = new EnginePool({pool, reuseAfterMs})
		this.links = new GatewayLinks({
			getPool: () => this.pool.name,
			now: this.now,
			onUnsendable: (kind, err) => {
				const error = messageOf(err)
				options.log.decide("message.unsendable", {kind, error})
			},
			onMessage: (owner, message) => {
				this.tryReceive(owner, message)
				if (message.body.case !== "heartbeat") this.scheduleTick(activeTickMs)
			},
			onDisconnect: (owner, reason) => {
				this.hellos.delete(owner)
				options.log.decide("gateway.lost", {owner, reason})
				this.sendDecisions(this.scheduler.dropOwner(owner, this.now()))
			}
		})
		this.notices = this.createNotices()
		const {engine, fencingTokens, leases, quotas, log} = options
		const holder = {
			owner: ulid(),
			host: quotas?.host,
			getEngineId: () => engine.engineId,
			log,
			now: this.now,
			random: options.random ?? Math.random
		}
		this.permits = new PermitDesk({
			...holder,
			leases,
			limits: this.limits,
			reply: (to, value) => {
				this.links.send(to, {case: "permit", value})
			}
		})
		if (quotas !== undefined) {
			this.quotas = new QuotaDesk({
				...holder,
				leases: quotas.leases,
				bounds: quotas.bounds,
				reply: (to, value) => {
					this.links.send(to, {case: "quota", value})
				}
			})
		}
		this.loop = new EngineLoop({
			engine,
			fencingTokens,
			log,
			scheduler: this.scheduler,
			now: this.now,
			onReport: askedAt => {
				const {engineId: id} = engine
				const {engineBornAt: bornAt} = this.scheduler
				this.updatePool(() => {
					this.pool.recordEngine({id, bornAt, askedAt, now: this.now()})
				})
			},
			mayOrder: () => !this.pool.mayBeReplaced,
			onDecisions: decisions => {
				this.sendDecisions(decisions)
				// A report may show another incarnation than notices were about.
				this.applyEngineLimit(this.now())
				this.scheduleTick(activeTickMs)
			}
		})
	}

	/**
	 * Resolves after the first attempt to bind the address. The engine is ordered only
	 * once it is bound, since that keeps a second agent from ordering it.
	 */
	start(): Promise<void> {
		const {address, tls, log} = this.options
		const onCall = this.links.accept
		return bindWhenFree({
			address,
			purpose: "gateways",
			bind: ({isRetry: probesFirst, onError}) =>
				startGrantServer({address, tls, onCall, probesFirst, onError}),
			onBound: server => {
				this.server = server
				this.scheduleTick(idleTickMs)
				this.loop.start()
			},
			unbind: server => {
				server.forceShutdown()
			},
			signal: this.stopping.signal,
			log
		})
	}

	/**
	 * Stops immediately, without a drain: gateways then send requests without grants
	 * for the adapters that the engine holds.
	 */
	stop(): void {
		this.stopping.abort()
		clearTimeout(this.timer)
		this.loop.stop()
		this.permits.stop()
		this.quotas?.stop()
		this.links.close()
		this.server?.forceShutdown()
	}

	/** A message that can't be handled ends nothing but itself. */
	private tryReceive(owner: string, message: GatewayMessage): void {
		try {
			this.receive(owner, message)
		} catch (err) {
			this.options.log.decide("message.failed", {
				owner,
				kind: message.body.case,
				error: messageOf(err)
			})
		}
	}

	private receive(owner: string, message: GatewayMessage): void {
		const now = this.now()
		const {body, origins} = message
		for (const {requestId, pool, build, keepMs} of origins) {
			const expiresAt = now + keepMs
			this.origins.add({requestId, pool, build, expiresAt}, now)
		}
		if (body.case === "ask") {
			this.handleAsk(owner, body.value, now)
		} else if (body.case === "started") {
			this.sendDecisions(
				this.scheduler.markStarted(`${owner}/${body.value}`, now)
			)
		} else if (body.case === "ended") {
			this.sendDecisions(
				this.scheduler.markEnded(`${owner}/${body.value}`, now)
			)
		} else if (body.case === "misplaced") {
			this.sendDecisions(
				this.scheduler.markEnded(`${owner}/${body.value}`, now)
			)
			this.loop.requestReport()
		} else if (body.case === "version") {
			const {model, adapter, version, ageMs} = body.value
			const announcedAt = now - ageMs
			if (!this.scheduler.slots.announce(model, adapter, version, announcedAt))
				return
			this.options.log.decide("version.newer", {model, adapter, version})
			this.loop.requestPlan()
		} else if (isNotice(body)) {
			this.passOn(owner, body, now)
		} else if (body.case === "permitAsk") {
			this.permits.handleAsk(owner, body.value)
		} else if (body.case === "quotaAsk") {
			this.quotas?.handleAsk(owner, body.value)
		} else if (body.case === "quotaUse") {
			this.quotas?.handleUse(body.value)
		} else if (body.case === "check") {
			void this.answerCheck(owner, body.value.bornAt)
		} else if (body.case === "findOrigin") {
			this.answerOrigin(owner, body.value, now)
		} else if (body.case === "hello") {
			this.links.setPace(owner, body.value)
			for (const notice of this.notices.list(now))
				this.links.send(owner, notice)
			this.handleHello(owner, body.value)
		}
	}

	private handleHello(owner: string, hello: Hello): void {
		const {gateway, engineId, pool} = hello
		const isNew = !this.hellos.has(owner)
		this.hellos.set(owner, hello)
		this.updatePool(() => {
			this.pool.recordRegistration(engineId, pool)
		})
		this.applyLimits(hello)
		if (isNew && this.pool.isForeign(pool)) {
			const fields = {owner, gateway, engine: engineId, pool}
			this.options.log.decide("gateway.foreign", fields)
		}
	}

	/** Applies what tells the engine's pool, and passes on a change. */
	private updatePool(update: () => void): void {
		const {engine, log} = this.options
		const known = this.pool.name
		const wasUncertain = this.pool.mayBeReplaced
		update()
		const {name: pool, mayBeReplaced} = this.pool
		if (pool === known && mayBeReplaced === wasUncertain) return
		log.decide("engine.pool", {engine: engine.engineId, pool, mayBeReplaced})
		this.links.sendHelloToAll()
		for (const hello of this.hellos.values()) this.applyLimits(hello)
	}

	/** Takes the limits that a gateway states, if they are those of the engine's pool. */
	private applyLimits({engineId, pool, limits}: Hello): void {
		if (limits === undefined || this.pool.isForeign(pool)) return
		const isStated = pool !== "" && this.pool.name !== undefined
		// Where a side states no pool, the limits may be those of another one.
		if (!isStated && !isSameId(engineId, this.options.engine.engineId)) return
		this.scheduler.setLimits(limits)
		this.loop.requestPlan()
	}

	/** Merges what a gateway noticed, and tells the others what is new. */
	private passOn(owner: string, notice: Notice, now: number): void {
		for (const news of this.notices.merge(notice, now, owner)) {
			// What is known against the notice concerns its sender, too.
			if (news.value === notice.value) this.links.sendToOthers(owner, news)
			else this.links.sendToAll(news)
		}
	}

	private createNotices(): NoticeBoard {
		const {crashes} = this
		return new NoticeBoard({
			leaving: new LeavingNotices(notice => {
				this.handleLeaving(notice)
			}),
			limit: new LimitNotices(this.limits, notice => {
				this.handleLimit(notice)
			}),
			crash: new CrashNotices(crashes, notice => {
				this.handleCrash(notice)
			}),
			trial: new TrialNotices(crashes, () => undefined)
		})
	}

	private handleLeaving({endpointId, bornAt}: LeavingNotice): void {
		if (endpointId !== this.options.engine.engineId) return
		this.options.log.decide("engine.leaving", {engine: endpointId})
		this.sendDecisions(this.scheduler.markLeaving(bornAt, this.now()))
	}

	/** Keeps the grants to the limit if it is the engine's that stated it. */
	private handleLimit({endpointId, perSecond}: LimitNotice): void {
		if (endpointId !== this.options.engine.engineId) return
		this.options.log.decide("engine.limit", {engine: endpointId, perSecond})
		this.applyEngineLimit(this.now())
	}

	/** Finds out at once whether the engine still runs. */
	private handleCrash({endpointId, bornAt}: CrashNotice): void {
		if (endpointId !== this.options.engine.engineId) return
		this.options.log.decide("engine.crashed", {engine: endpointId, bornAt})
		this.loop.requestReport()
	}

	/** Keeps the grants to the limit that gateways heard from the engine. */
	private applyEngineLimit(now: number): void {
		const {scheduler, limits, options} = this
		const stated = limits.get(options.engine.engineId, scheduler.engineBornAt)
		this.sendDecisions(scheduler.setRequestLimit(stated?.perSecond, now))
	}

	/** Tells a gateway whether an incarnation of the engine has ended. */
	private async answerCheck(owner: string, bornAt: number): Promise<void> {
		const hasEnded = await this.loop.check(bornAt)
		const value = create(EngineCheckSchema, {bornAt, hasEnded})
		this.links.send(owner, {case: "check", value})
	}

	/** Tells a gateway where a stream began that its caller resumes. */
	private answerOrigin(owner: string, requestId: string, now: number): void {
		const origin = this.origins.find(requestId, now)
		const value = create(OriginAnswerSchema, {
			requestId,
			...(origin === undefined
				? {}
				: {origin: {...origin, keepMs: Math.round(origin.expiresAt - now)}})
		})
		this.links.send(owner, {case: "origin", value})
	}

	private handleAsk(owner: string, ask: Ask, now: number): void {
		if (this.pool.isForeign(this.hellos.get(owner)?.pool ?? "")) {
			this.refuseForeign(owner, ask)
			return
		}
		if (ask.minVersion > 0) {
			const {model, adapter, minVersion} = ask
			const announcedAt = now - ask.minVersionAgeMs
			this.scheduler.slots.announce(model, adapter, minVersion, announcedAt)
		}
		this.sendDecisions(this.scheduler.submit(decodeAsk(owner, ask, now), now))
		this.loop.requestPlan()
	}

	/** Refuses a request for an engine of another pool before it is queued. */
	private refuseForeign(owner: string, {key}: Ask): void {
		const reason = RefuseReason.UNAVAILABLE
		const value = create(RefuseSchema, {key, reason})
		const {name: pool} = this.pool
		this.options.log.request("refuse", key, {reason: "other pool", pool})
		this.links.send(owner, {case: "refuse", value})
	}

	/** Sends the scheduler's grants and refusals to the gateways that asked. */
	private sendDecisions(decisions: readonly GrantDecision[]): void {
		if (decisions.length === 0) return
		const state = this.links.createState(this.getView())
		for (const decision of decisions) {
			const {request, expectedMs} = decision
			const key = request.key.slice(request.owner.length + 1)
			if (decision.kind === GrantDecisionKind.Grant) {
				this.links.send(request.owner, {
					case: "grant",
					value: {
						$typeName: "goldcrestloom.grants.v1.Grant",
						key,
						version: decision.version,
						engineId: this.options.engine.engineId,
						expectedMs: Math.round(expectedMs),
						state,
						engineBornAt: this.scheduler.engineBornAt
					}
				})
				continue
			}
			this.options.log.request("refuse", key, {
				reason: decision.reason,
				expectedMs: Math.round(expectedMs),
				leftMs: Math.round(request.deadline - this.now()),
				waiting: this.scheduler.waitingCount
			})
			this.links.send(request.owner, {
				case: "refuse",
				value: {
					$typeName: "goldcrestloom.grants.v1.Refuse",
					key,
					reason: encodeReason(decision.reason),
					retryAfterMs: Math.round(decision.retryAfterMs),
					expectedMs: Math.round(expectedMs),
					state
				}
			})
		}
	}

	private getView(): GrantSchedulerView {
		const view = this.scheduler.getView(this.now())
		return this.pool.mayBeReplaced ? {...view, isUsable: false} : view
	}

	/** Ticks after the delay, unless an earlier tick is scheduled. */
	private scheduleTick(delayMs: number): void {
		const at = this.now() + delayMs
		if (this.stopping.signal.aborted || at >= this.tickAt) return
		this.tickAt = at
		clearTimeout(this.timer)
		this.timer = setTimeout(() => {
			this.tickAt = Number.POSITIVE_INFINITY
			this.tryTick()
		}, delayMs)
	}

	/** Without a next tick, gateways would take this agent for lost. */
	private tryTick(): void {
		try {
			this.tick()
		} catch (err) {
			this.options.log.fault("tick", err)
			this.scheduleTick(idleTickMs)
		}
	}

	private tick(): void {
		if (this.scheduler.waitingCount > 0) {
			this.sendDecisions(this.scheduler.schedule(this.now()))
		}
		this.crashes.expire(this.now())
		const {slots} = this.scheduler
		const hasUnsent = this.links.publishState(this.getView(), {
			resident: slots.listResident(),
			recent: slots.listRecent(),
			restarts: slots.restarts
		})
		const isActive = hasUnsent || this.scheduler.waitingCount > 0
		this.scheduleTick(isActive ? activeTickMs : idleTickMs)
	}
}

/** Whether two ids may be those of one engine; empty ones are unknown. */
function isSameId(one: string, other: string): boolean {
	return one === "" || other === "" || one === other
}

function decodeAsk(owner: string, ask: Ask, now: number): GrantRequest {
	return {
		key: `${owner}/${ask.key}`,
		requestId: ask.requestId,
		owner,
		model: ask.model,
		adapter: ask.adapter,
		parts: ask.parts,
		promptTokens: ask.promptTokens,
		outputTokens: ask.outputTokens,
		expectedOutputTokens: ask.expectedOutputTokens,
		priority: ask.priority,
		objectiveAt: now + ask.objectiveLeftMs,
		startBy: now + ask.startByLeftMs,
		deadline: now + ask.deadlineLeftMs
	}
}

function encodeReason(reason: GrantRefusalReason): RefuseReason {
	// Gateways of earlier builds fail on a reason that they don't know.
	if (reason === GrantRefusalReason.Limit) return RefuseReason.OVERLOADED
	if (reason === GrantRefusalReason.Overloaded) return RefuseReason.OVERLOADED
	if (reason === GrantRefusalReason.Deadline) return RefuseReason.DEADLINE
	return RefuseReason.UNAVAILABLE
}
