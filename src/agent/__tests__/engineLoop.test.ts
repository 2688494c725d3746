import {afterEach, describe, expect, it, vi} from "vitest"
import winston from "winston"
import {
	type EngineOrder,
	type EngineReport,
	GrantScheduler,
	OrderKind,
	OrderOutcome
} from "../../policy/grants/index.js"
import {
	createReport,
	createRequest,
	limits
} from "../../policy/grants/__tests__/fixtures.js"
import {Step} from "../../contract/errors.js"
import {DecisionLog} from "../../program/decisionLog.js"
import {sleep} from "../../utils/common.js"
import {EngineLoop} from "../engineLoop.js"
import {EngineGoneError, EnginePort, FencingTokenSource} from "../enginePort.js"

const loops: EngineLoop[] = []

afterEach(() => {
	for (const loop of loops.splice(0)) loop.stop()
})

/** An engine whose adapter slots are full; the test sets what it runs. */
class ScriptedEngine extends EnginePort {
	readonly orders: EngineOrder[] = []
	runIds: string[] = []
	readonly tokens: number[] = []
	reports = 0
	identifications = 0
	bornAt = 1
	highestToken = 0
	isSilent = false
	isGone = false
	/** Holds back the next report, which is what the engine says now. */
	holdReport: Promise<void> | undefined

	override get engineId(): string {
		return "i-1"
	}

	override report(): Promise<EngineReport> {
		this.reports += 1
		if (this.isSilent) return Promise.reject(new Error("no answer"))
		if (this.isGone) {
			const err = new EngineGoneError("refused", {step: Step.Load})
			return Promise.reject(err)
		}
		const {runIds, bornAt, holdReport = Promise.resolve()} = this
		const running = runIds.length
		const report = createReport(["a1", "a2"], {
			running,
			runIds: [...runIds],
			bornAt
		})
		this.holdReport = undefined
		return holdReport.then(() => report)
	}

	override order(order: EngineOrder, token: number): Promise<OrderOutcome> {
		this.orders.push(order)
		this.tokens.push(token)
		const isStale = token < this.highestToken
		return Promise.resolve(
			isStale ? OrderOutcome.Refused : OrderOutcome.Conflict
		)
	}

	override identify(): Promise<void> {
		this.identifications += 1
		return Promise.resolve()
	}
}

class RisingTokenSource extends FencingTokenSource {
	private last = 0

	override acquire(): Promise<number> {
		this.last += 1
		return Promise.resolve(this.last)
	}
}

async function startLoop(
	engine: ScriptedEngine
): Promise<{loop: EngineLoop; scheduler: GrantScheduler}> {
	const scheduler = new GrantScheduler({random: () => 0})
	scheduler.setLimits(limits)
	const loop = new EngineLoop({
		engine,
		scheduler,
		fencingTokens: new RisingTokenSource(),
		log: new DecisionLog({
			role: "agent",
			host: "test",
			// winston's declarations of transports disagree.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
			transport: new winston.transports.Console({silent: true})
		}),
		onDecisions: () => undefined,
		now: () => performance.now()
	})
	loops.push(loop)
	loop.start()
	await sleep(30)
	return {loop, scheduler}
}

function requestOtherAdapter(
	loop: EngineLoop,
	scheduler: GrantScheduler
): void {
	const now = performance.now()
	scheduler.submit(createRequest("r1", now, {adapter: "b"}), now)
	loop.requestPlan()
}

describe("EngineLoop", () => {
	it("goes on after a fault, since nothing else orders", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		vi.spyOn(engine, "order").mockRejectedValueOnce(new TypeError("a fault"))
		vi.spyOn(scheduler, "planOrder").mockImplementationOnce(() => {
			throw new TypeError("another fault")
		})
		requestOtherAdapter(loop, scheduler)
		await vi.waitFor(
			() => {
				expect(engine.orders.length).toBeGreaterThan(0)
			},
			{timeout: 5000}
		)
	})

	it("evicts an unused adapter when a request waits for another one", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		requestOtherAdapter(loop, scheduler)
		await sleep(20)
		expect(engine.orders[0]?.kind).toBe(OrderKind.Unload)
	})

	it("reads a fresh report before an eviction and evicts nothing while it shows a run without a grant", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		// A gateway without a link to this agent sent it after the last report.
		engine.runIds = ["unasked"]
		requestOtherAdapter(loop, scheduler)
		await sleep(150)
		expect(engine.orders).toEqual([])
		engine.runIds = []
		await sleep(100)
		expect(engine.orders[0]?.kind).toBe(OrderKind.Unload)
	})

	it("acquires a new fencing token when the engine refuses the current one", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		engine.highestToken = 3
		requestOtherAdapter(loop, scheduler)
		await expect.poll(() => engine.tokens.at(-1)).toBe(3)
		expect(engine.tokens.slice(0, 3)).toEqual([1, 2, 3])
		expect(engine.tokens.filter(token => token < 3)).toHaveLength(2)
	})

	it("drops its grants when the engine restarts with the same id", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		const now = performance.now()
		scheduler.submit(createRequest("r1", now), now)
		expect(scheduler.getView(now).running).toBe(1)
		engine.bornAt = 2
		loop.requestReport()
		await expect.poll(() => scheduler.getView(0).running).toBe(0)
		expect(engine.identifications).toBe(2)
	})

	it("does not busy-loop while an eviction waits for a failing report", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		engine.isSilent = true
		const before = engine.reports
		requestOtherAdapter(loop, scheduler)
		await sleep(150)
		expect(engine.orders).toEqual([])
		expect(engine.reports - before).toBeLessThanOrEqual(2)
	})
})

describe("a check whether the engine has ended", () => {
	it("tells an engine that runs from one that is gone or has started anew", async () => {
		const engine = new ScriptedEngine()
		const {loop} = await startLoop(engine)
		expect(await loop.check(1)).toBe(false)
		engine.isGone = true
		expect(await loop.check(1)).toBe(true)
		engine.isGone = false
		engine.bornAt = 2
		expect(await loop.check(1)).toBe(true)
		expect(await loop.check(2)).toBe(false)
	})

	it("does not go by an engine that is silent", async () => {
		const engine = new ScriptedEngine()
		const {loop} = await startLoop(engine)
		engine.isSilent = true
		expect(await loop.check(1)).toBe(false)
	})

	it("does not go by a report that was requested before", async () => {
		const engine = new ScriptedEngine()
		let release: () => void = () => undefined
		engine.holdReport = new Promise(resolve => (release = resolve))
		const {loop} = await startLoop(engine)
		await sleep(5)
		const check = loop.check(1)
		engine.isGone = true
		release()
		expect(await check).toBe(true)
	})
})
