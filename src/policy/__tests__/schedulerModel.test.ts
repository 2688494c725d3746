import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {AdapterScheduler} from "../adapterScheduler.js"
import {FifoScheduler} from "../baselines/index.js"
import {SchedulerActionKind} from "../scheduler.js"
import type {Scheduler, SchedulerOptions} from "../scheduler.js"
import {RequestClass} from "../types.js"
import {SchedulerModel} from "./schedulerModel.js"

const seed = 20_261_203
const runs = 300
const workers = ["w1", "w2"]
const drainMs = 400_000

const options: SchedulerOptions = {
	workers,
	slots: 2,
	seats: 2,
	objective: {loadStalls: 0.5, batchEfficiency: 0.5},
	share: {loadsPerSecond: 20, inFlight: 4},
	msPerToken: 10,
	loadMs: 250,
	maxQueued: 40
}

enum Kind {
	Arrive,
	Cancel,
	Reset,
	Down,
	Up,
	Advance
}

const command = fc.record({
	kind: fc.oneof(
		{weight: 8, arbitrary: fc.constant(Kind.Arrive)},
		{weight: 5, arbitrary: fc.constant(Kind.Advance)},
		{weight: 2, arbitrary: fc.constant(Kind.Cancel)},
		fc.constantFrom(Kind.Reset, Kind.Down, Kind.Up)
	),
	value: fc.nat(600),
	adapter: fc.nat(11),
	member: fc.nat(4),
	class: fc.constantFrom(
		RequestClass.Booking,
		RequestClass.Interactive,
		RequestClass.Deferrable
	),
	windowMs: fc.integer({min: 100, max: 60_000}),
	fails: fc.boolean()
})
type Command = typeof command extends fc.Arbitrary<infer T> ? T : never

function apply(model: SchedulerModel, step: Command, index: number): void {
	const worker = workers[step.value % workers.length] ?? ""
	switch (step.kind) {
		case Kind.Arrive:
			model.arrive({
				id: `r${index}`,
				adapter: `a${step.adapter}`,
				member: `m${step.member}`,
				class: step.class,
				deadline: model.now + step.windowMs,
				arrivedAt: model.now,
				maxTokens: 100,
				prefixHash: 0
			})
			return
		case Kind.Cancel:
			model.cancel(`r${step.value % (index + 1)}`)
			return
		case Kind.Reset:
			model.reset(worker)
			return
		case Kind.Down:
			model.setUp(worker, false)
			return
		case Kind.Up:
			model.setUp(worker, true)
			return
		case Kind.Advance:
			model.advance(step.value)
	}
}

function play(
	create: (options: SchedulerOptions) => Scheduler,
	steps: Command[]
): SchedulerModel {
	let count = 0
	const fails = (): boolean => steps[count++ % steps.length]?.fails ?? false
	const model = new SchedulerModel(create(options), options, fails)
	steps.forEach((step, index) => {
		apply(model, step, index)
	})
	workers.forEach(worker => {
		model.setUp(worker, true)
	})
	model.advance(drainMs)
	return model
}

describe.each([
	["AdapterScheduler", (o: SchedulerOptions) => new AdapterScheduler(o)],
	["FifoScheduler", (o: SchedulerOptions) => new FifoScheduler(o)]
])("%s under random schedules", (_name, create) => {
	it(`keeps pins, slots and seats, and ends all once (seed ${seed})`, () => {
		const steps = fc.array(command, {minLength: 1, maxLength: 120})
		const property = fc.property(steps, sequence => {
			expect(play(create, sequence).countUnended()).toBe(0)
		})
		fc.assert(property, {seed, numRuns: runs})
	})
})

describe("AdapterScheduler under steady pressure", () => {
	it("serves a single request although others always have company", () => {
		const share = {loadsPerSecond: 1, inFlight: 1}
		const busy = {...options, share, workers: ["w1"]}
		const model = new SchedulerModel(new AdapterScheduler(busy), busy)
		const send = (id: string, adapter: string): void => {
			model.arrive({
				id,
				adapter,
				member: "m",
				class: RequestClass.Interactive,
				deadline: model.now + 60_000,
				arrivedAt: model.now,
				maxTokens: 50,
				prefixHash: 0
			})
		}
		for (let index = 0; index < 100; index++) {
			send(`pair-${index}-1`, `adapter-${index}`)
			send(`pair-${index}-2`, `adapter-${index}`)
			if (index === 20) send("single", "rare")
			model.advance(900)
		}
		expect(model.ended.get("single")).toBe(SchedulerActionKind.Run)
	})
})
