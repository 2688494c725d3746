/**
 * Simulates a plain service and records every run, as the ground truth for the
 * checks.
 */
import {Step} from "../../src/contract/errors.js"
import {SendEnd} from "../../src/policy/claimTypes.js"
import type {SendResult} from "../../src/endpoint/claims/index.js"
import type {VirtualClock} from "./virtualClock.js"

export interface ServiceFaults {
	/** Share of calls refused before they start. */
	refused: number
	/** Share of calls that run, but whose sender gets no answer. */
	lost: number
	/** Share of calls that never arrive; the sender gets an unknown outcome. */
	vanished: number
}

export const noServiceFaults: Readonly<ServiceFaults> = {
	refused: 0,
	lost: 0,
	vanished: 0
}

export interface FakeServiceOptions {
	clock: VirtualClock
	random: () => number
	faults?: ServiceFaults
	/** Longest time of one call; the shortest is a quarter of it. */
	callMs?: number
}

export class FakeService {
	/** Start times of the runs of each key. */
	readonly runs = new Map<string, number[]>()
	faults: ServiceFaults

	constructor(private readonly options: FakeServiceOptions) {
		this.faults = options.faults ?? noServiceFaults
	}

	/** The body of the answer to this key. */
	static createAnswer(key: string): string {
		return `{"booking":"${key}"}`
	}

	async call(key: string): Promise<SendResult> {
		const {clock, random, callMs = 80} = this.options
		await clock.sleep(1 + random() * 2)
		const randomShare = random()
		const {refused, lost, vanished} = this.faults
		if (randomShare < refused) {
			const detail = "no free chamber clerk"
			return {end: SendEnd.NotStarted, detail, retryAfterMs: 100}
		}
		if (randomShare < refused + vanished) return unknownResult
		const runs = this.runs.get(key) ?? []
		runs.push(clock.now)
		this.runs.set(key, runs)
		await clock.sleep(callMs * (0.25 + 0.75 * random()))
		if (randomShare < refused + vanished + lost) return unknownResult
		const body = Buffer.from(FakeService.createAnswer(key))
		const contentType = "application/json"
		return {end: SendEnd.Answered, status: 201, contentType, body}
	}
}

const unknownResult: SendResult = {
	end: SendEnd.Unknown,
	step: Step.Send,
	detail: "connection reset"
}
