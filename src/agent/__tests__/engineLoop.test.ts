import {afterEach, describe, expect, it} from "vitest"
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
} from "../../policy/grants/__tests__/requests.js"
import {DecisionLog} from "../../program/decisionLog.js"
import {sleep} from "../../utils/common.js"
import {EngineLoop} from "../engineLoop.js"
import {EnginePort, FenceSource} from "../enginePort.js"

const loops: EngineLoop[] = []

afterEach(() => {
	for (const loop of loops.splice(0)) loop.stop()
})

/** An engine with full slots that runs what the test says. */
class ScriptedEngine extends EnginePort {
	readonly orders: EngineOrder[] = []
	runIds: string[] = []
	readonly fences: number[] = []
	reports = 0
	identified = 0
	bornAt = 1
	highestFence = 0
	isSilent = false

	override get engineId(): string {
		return "i-1"
	}

	override report(): Promise<EngineReport> {
		this.reports += 1
		if (this.isSilent) return Promise.reject(new Error("no answer"))
		const {runIds} = this
		const running = runIds.length
		return Promise.resolve(
			createReport(["a1", "a2"], {
				running,
				runIds: [...runIds],
				bornAt: this.bornAt
			})
		)
	}

	override order(order: EngineOrder, fence: number): Promise<OrderOutcome> {
		this.orders.push(order)
		this.fences.push(fence)
		const isOld = fence < this.highestFence
		return Promise.resolve(isOld ? OrderOutcome.Refused : OrderOutcome.Conflict)
	}

	override identify(): Promise<void> {
		this.identified += 1
		return Promise.resolve()
	}
}

class RisingFence extends FenceSource {
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
		fences: new RisingFence(),
		log: new DecisionLog({
			role: "agent",
			host: "test",
			// winston's declarations of transports disagree.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
			transport: new winston.transports.Console({silent: true})
		}),
		onSteps: () => undefined,
		now: () => performance.now()
	})
	loops.push(loop)
	loop.start()
	await sleep(30)
	return {loop, scheduler}
}

function askForAnother(loop: EngineLoop, scheduler: GrantScheduler): void {
	const now = performance.now()
	scheduler.ask(createRequest("r1", now, {adapter: "b"}), now)
	loop.poke()
}

describe("EngineLoop", () => {
	it("evicts an unused adapter for one that a request waits for", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		askForAnother(loop, scheduler)
		await sleep(20)
		expect(engine.orders[0]?.kind).toBe(OrderKind.Unload)
	})

	it("evicts nothing by a report that is older than a run", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		// Sent by a gateway that had lost this agent, after the last report.
		engine.runIds = ["unasked"]
		askForAnother(loop, scheduler)
		await sleep(150)
		expect(engine.orders).toEqual([])
		engine.runIds = []
		await sleep(100)
		expect(engine.orders[0]?.kind).toBe(OrderKind.Unload)
	})

	it("takes a newer fence once its own is refused, as after a long pause", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		engine.highestFence = 3
		askForAnother(loop, scheduler)
		await expect.poll(() => engine.fences.at(-1)).toBe(3)
		expect(engine.fences.slice(0, 3)).toEqual([1, 2, 3])
		expect(engine.fences.filter(fence => fence < 3)).toHaveLength(2)
	})

	it("forgets its grants when the engine starts anew under its id", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		const now = performance.now()
		scheduler.ask(createRequest("r1", now), now)
		expect(scheduler.getView(now).running).toBe(1)
		engine.bornAt = 2
		loop.recheck()
		await expect.poll(() => scheduler.getView(0).running).toBe(0)
		expect(engine.identified).toBe(2)
	})

	it("does not spin while an eviction waits for an engine that is silent", async () => {
		const engine = new ScriptedEngine()
		const {loop, scheduler} = await startLoop(engine)
		engine.isSilent = true
		const before = engine.reports
		askForAnother(loop, scheduler)
		await sleep(150)
		expect(engine.orders).toEqual([])
		expect(engine.reports - before).toBeLessThanOrEqual(2)
	})
})
