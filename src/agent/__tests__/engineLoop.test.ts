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
	reports = 0
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
			createReport(["a1", "a2"], {running, runIds: [...runIds]})
		)
	}

	override order(order: EngineOrder): Promise<OrderOutcome> {
		this.orders.push(order)
		return Promise.resolve(OrderOutcome.Conflict)
	}

	override identify(): Promise<void> {
		return Promise.resolve()
	}
}

class FixedFence extends FenceSource {
	override acquire(): Promise<number> {
		return Promise.resolve(1)
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
		fences: new FixedFence(),
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
