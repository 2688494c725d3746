import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {AdapterScheduler} from "../adapterScheduler.js"
import {FifoScheduler} from "../baselines/index.js"
import {SchedulerActionKind} from "../scheduler.js"
import type {Scheduler, SchedulerOptions} from "../scheduler.js"
import {RequestClass} from "../types.js"
import {SchedulerModel} from "./schedulerModel.js"

const seed = 20_261_203
const propertyRuns = 300
const workers = ["w1", "w2"]
/** Longer than any deadline, so that every request has run or was refused. */
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

enum CommandKind {
	Arrive,
	Cancel,
	Reset,
	Down,
	Up,
	Advance
}

const arbitraryCommand = fc.record({
	kind: fc.oneof(
		{weight: 8, arbitrary: fc.constant(CommandKind.Arrive)},
		{weight: 5, arbitrary: fc.constant(CommandKind.Advance)},
		{weight: 2, arbitrary: fc.constant(CommandKind.Cancel)},
		fc.constantFrom(CommandKind.Reset, CommandKind.Down, CommandKind.Up)
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
type Command = typeof arbitraryCommand extends fc.Arbitrary<infer T> ? T : never

function applyCommand(
	model: SchedulerModel,
	step: Command,
	index: number
): void {
	const worker = workers[step.value % workers.length] ?? ""
	switch (step.kind) {
		case CommandKind.Arrive:
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
		case CommandKind.Cancel:
			model.cancel(`r${step.value % (index + 1)}`)
			return
		case CommandKind.Reset:
			model.resetWorker(worker)
			return
		case CommandKind.Down:
			model.setWorkerUp(worker, false)
			return
		case CommandKind.Up:
			model.setWorkerUp(worker, true)
			return
		case CommandKind.Advance:
			model.advance(step.value)
	}
}

function runCommands(
	create: (options: SchedulerOptions) => Scheduler,
	steps: Command[]
): SchedulerModel {
	let count = 0
	const fails = (): boolean => steps[count++ % steps.length]?.fails ?? false
	const model = new SchedulerModel(create(options), options, fails)
	steps.forEach((step, index) => {
		applyCommand(model, step, index)
	})
	workers.forEach(worker => {
		model.setWorkerUp(worker, true)
	})
	model.advance(drainMs)
	return model
}

describe.each([
	["AdapterScheduler", (o: SchedulerOptions) => new AdapterScheduler(o)],
	["FifoScheduler", (o: SchedulerOptions) => new FifoScheduler(o)]
])("%s under random schedules", (_name, create) => {
	it(`respects pins, slots and seats, and runs or refuses each request once (seed ${seed})`, () => {
		const steps = fc.array(arbitraryCommand, {minLength: 1, maxLength: 120})
		const property = fc.property(steps, sequence => {
			expect(runCommands(create, sequence).countUnresolved()).toBe(0)
		})
		fc.assert(property, {seed, numRuns: propertyRuns})
	})
})

describe("AdapterScheduler under sustained load", () => {
	// An adapter with more waiting requests is loaded earlier. A steady flow of pairs
	// must not delay the adapter of a lone request for good.
	it("serves a lone request for an adapter while others arrive in pairs", () => {
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
		expect(model.outcomes.get("single")).toBe(SchedulerActionKind.Run)
	})
})
