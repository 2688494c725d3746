/**
 * The agent beside an engine: the only one that orders it, and the owner of the
 * engine's queue. Gateways ask it for grants and send requests straight to the
 * engine. One loop gives orders and reads reports, so that no order is planned
 * from a belief that another order is about to change.
 */
import type * as grpc from "@grpc/grpc-js"
import type {
	Ask,
	EngineLimits as EngineLimitsMessage,
	GatewayMessage
} from "../contract/gen/grants_pb.js"
import {RefuseReason} from "../contract/gen/grants_pb.js"
import {startGrantServer} from "../link/fleetLink.js"
import type {TlsKeys} from "../link/tls.js"
import {
	type EngineOrder,
	GrantActionKind,
	type GrantRequest,
	GrantScheduler,
	type GrantStep,
	OrderKind,
	OrderOutcome,
	RefusalReason
} from "../policy/grants/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {messageOf, sleep} from "../utils/common.js"
import type {EnginePort, FenceSource} from "./enginePort.js"
import {GatewayLinks} from "./gatewayLinks.js"

export interface AgentTaskOptions {
	/** `ip:port` at which gateways connect. */
	address: string
	engine: EnginePort
	fences: FenceSource
	log: DecisionLog
	tls?: TlsKeys | undefined
	/** Monotonic milliseconds. */
	now?: () => number
	random?: () => number
}

/** A report is free on the engine's own host, but takes processor time. */
const idleReportMs = 500
/** While an adapter is on its way past its expected time. */
const busyReportMs = 15
/** While runs that were not granted keep adapters from being evicted. */
const heldBackReportMs = 50
const failedReportMs = 250
/** Reports that must fail in a row before the engine counts as down. */
const failuresUntilDown = 2
const fenceRetryMs = 500
/** Waiting requests are looked at this often for their deadlines. */
const tickMs = 50

export class AgentTask {
	private readonly scheduler: GrantScheduler
	private readonly links: GatewayLinks
	private readonly now: () => number
	private server: grpc.Server | undefined
	private fence: number | undefined
	private nextReportAt = 0
	private failures = 0
	private isUp = false
	private isStopped = false
	private wake: (() => void) | undefined
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: AgentTaskOptions) {
		this.now = options.now ?? (() => performance.now())
		this.scheduler = new GrantScheduler({random: options.random ?? Math.random})
		this.links = new GatewayLinks({
			now: this.now,
			onMessage: (owner, message) => {
				this.receive(owner, message)
			},
			onGone: (owner, reason) => {
				options.log.decide("gateway.lost", {owner, reason})
				this.carryOut(this.scheduler.dropOwner(owner, this.now()))
			}
		})
	}

	async start(): Promise<void> {
		const {address, tls} = this.options
		const onCall = this.links.accept
		this.server = await startGrantServer({address, tls, onCall})
		this.timer = setInterval(() => {
			this.tick()
		}, tickMs)
		void this.acquireFence()
		void this.run()
	}

	/** Ends at once: gateways go on with what the engine holds. */
	stop(): void {
		this.isStopped = true
		clearInterval(this.timer)
		this.links.close()
		this.server?.forceShutdown()
		this.poke()
	}

	private async acquireFence(): Promise<void> {
		while (!this.isStopped && this.fence === undefined) {
			try {
				this.fence = await this.options.fences.acquire()
				this.options.log.decide("fence.acquired", {fence: this.fence})
				this.poke()
			} catch (err) {
				this.options.log.decide("fence.failed", {error: messageOf(err)})
				await sleep(fenceRetryMs)
			}
		}
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			if (this.now() >= this.nextReportAt) await this.readReport()
			const order =
				this.fence === undefined
					? undefined
					: this.scheduler.planOrder(this.now())
			if (order !== undefined && this.fence !== undefined) {
				await this.give(order, this.fence)
				continue
			}
			await this.sleepUntil(this.nextReportAt)
		}
	}

	private async readReport(): Promise<void> {
		const {engine, log} = this.options
		try {
			const report = await engine.report()
			this.failures = 0
			if (!this.isUp) {
				this.isUp = true
				await engine.identify()
				log.decide("engine.up", {engine: engine.engineId, born: report.bornAt})
			}
			if (this.scheduler.applyReport(report, this.now())) {
				await engine.identify()
				log.decide("engine.restarted", {
					engine: engine.engineId,
					born: report.bornAt,
					sequence: report.sequence
				})
			}
			this.nextReportAt = this.getNextReportAt()
			this.carryOut(this.scheduler.schedule(this.now()))
		} catch (err) {
			this.failures += 1
			this.nextReportAt = this.now() + failedReportMs
			if (this.failures < failuresUntilDown || !this.isUp) return
			this.isUp = false
			log.decide("engine.down", {error: messageOf(err)})
			this.scheduler.markDown()
			this.carryOut(this.scheduler.schedule(this.now()))
		}
	}

	private getNextReportAt(): number {
		const now = this.now()
		const {places} = this.scheduler
		if (this.scheduler.isHeldBack) return now + heldBackReportMs
		if (!places.isChanging) return now + idleReportMs
		const readyAt = Math.min(places.getNextReadyAt(), now + idleReportMs)
		return Math.max(now + busyReportMs, readyAt)
	}

	private async give(order: EngineOrder, fence: number): Promise<void> {
		const {engine, log} = this.options
		this.scheduler.places.beginOrder(order)
		const outcome = await engine.order(order, fence)
		this.scheduler.endOrder(outcome, this.now())
		log.decide("order", {
			order: order.kind,
			model: order.model,
			adapter: order.adapter,
			version: order.version,
			sequence: order.expectedSequence,
			fence,
			outcome
		})
		const isKnown =
			outcome === OrderOutcome.Accepted ||
			(outcome === OrderOutcome.Holds && order.kind === OrderKind.Unload)
		this.nextReportAt = isKnown ? this.getNextReportAt() : 0
		if (outcome !== OrderOutcome.Refused) return
		// The engine has seen a higher fence: only a newer one is of use.
		this.fence = undefined
		void this.acquireFence()
	}

	private receive(owner: string, message: GatewayMessage): void {
		const now = this.now()
		const {body} = message
		if (body.case === "ask") {
			this.ask(owner, body.value, now)
		} else if (body.case === "started") {
			this.carryOut(this.scheduler.start(`${owner}/${body.value}`, now))
		} else if (body.case === "ended") {
			this.carryOut(this.scheduler.end(`${owner}/${body.value}`, now))
		} else if (body.case === "misplaced") {
			this.nextReportAt = 0
			this.carryOut(this.scheduler.end(`${owner}/${body.value}`, now))
		} else if (body.case === "version") {
			const {model, adapter, version} = body.value
			if (!this.scheduler.places.announce(model, adapter, version, now)) return
			this.options.log.decide("version.newer", {model, adapter, version})
			this.poke()
		} else if (body.case === "hello" && body.value.limits !== undefined) {
			this.scheduler.setLimits(decodeLimits(body.value.limits))
			this.poke()
		}
	}

	private ask(owner: string, ask: Ask, now: number): void {
		if (ask.minVersion > 0) {
			const {model, adapter, minVersion} = ask
			this.scheduler.places.announce(model, adapter, minVersion, now)
		}
		this.carryOut(this.scheduler.ask(decodeAsk(owner, ask, now), now))
		if (this.scheduler.isHeldBack) {
			this.nextReportAt = Math.min(this.nextReportAt, now + heldBackReportMs)
		}
		this.poke()
	}

	private carryOut(steps: readonly GrantStep[]): void {
		for (const step of steps) {
			const {request, expectedMs} = step
			const key = request.key.slice(request.owner.length + 1)
			if (step.kind === GrantActionKind.Grant) {
				this.links.send(request.owner, {
					case: "grant",
					value: {
						$typeName: "goldcrestloom.grants.v1.Grant",
						key,
						version: step.version,
						engineId: this.options.engine.engineId,
						expectedMs: Math.round(expectedMs)
					}
				})
				continue
			}
			this.options.log.request("refuse", key, {
				reason: step.reason,
				expectedMs: Math.round(expectedMs),
				leftMs: Math.round(request.deadline - this.now()),
				waiting: this.scheduler.waitingCount
			})
			this.links.send(request.owner, {
				case: "refuse",
				value: {
					$typeName: "goldcrestloom.grants.v1.Refuse",
					key,
					reason: encodeReason(step.reason),
					retryAfterMs: Math.round(step.retryAfterMs),
					expectedMs: Math.round(expectedMs)
				}
			})
		}
	}

	private tick(): void {
		if (this.scheduler.waitingCount > 0) {
			this.carryOut(this.scheduler.schedule(this.now()))
		}
		const {places} = this.scheduler
		this.links.spread(this.scheduler.getView(), {
			resident: places.listResident(),
			recent: places.listRecent()
		})
	}

	/** Lets the loop plan again now. */
	private poke(): void {
		this.wake?.()
	}

	private sleepUntil(at: number): Promise<void> {
		return new Promise(resolve => {
			const done = (): void => {
				clearTimeout(timer)
				this.wake = undefined
				resolve()
			}
			const timer = setTimeout(done, Math.max(1, at - this.now()))
			this.wake = done
		})
	}
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
		priority: ask.priority,
		objectiveAt: now + ask.objectiveLeftMs,
		startBy: now + ask.startByLeftMs,
		deadline: now + ask.deadlineLeftMs
	}
}

function decodeLimits(limits: EngineLimitsMessage): {
	seats: number
	adapterSlots: number
	memoryTokens: number
	weightsMb: number
	models: {name: string; weightsMb: number; adapterMb: number}[]
} {
	const {seats, adapterSlots, memoryTokens, weightsMb, models} = limits
	return {seats, adapterSlots, memoryTokens, weightsMb, models}
}

function encodeReason(reason: RefusalReason): RefuseReason {
	if (reason === RefusalReason.Overloaded) return RefuseReason.OVERLOADED
	if (reason === RefusalReason.Deadline) return RefuseReason.DEADLINE
	return RefuseReason.UNAVAILABLE
}
