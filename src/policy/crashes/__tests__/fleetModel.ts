/**
 * A fleet whose engines crash for many causes, as far as it matters to what hosts
 * learn of the parts of prompts. All hosts know the same.
 */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {CrashRecords, judgePrompt, PromptVerdict} from "../index.js"

export interface FleetLoad {
	engines: number
	requestsPerSecond: number
	/** Callers that share the requests by Zipf's law, each with a part of its own. */
	callers: number
	crashesPerSecond: number
	/** Engines that crash together. */
	enginesPerCrash: number
	/** Share of the requests that hold a part which crashes engines. */
	deadlyShare: number
	/** Whether the head of an answer reaches the host before the crash does. */
	showsHeads: boolean
}

interface Run {
	engine: number
	parts: string[]
	begunAt: number
	answeredAt: number
	isDeadly: boolean
}

const downMs = 3000
const stepMs = 10
const spanMs = 60_000
const headMs = 20

export class FleetModel {
	/** Sound requests that were turned away. */
	turnedAway = 0
	soundRequests = 0
	/** Times at which requests with the deadly part were sent. */
	readonly deadlySends: number[] = []
	/** Times of the crashes for that part. */
	readonly deadlyCrashes: number[] = []
	private readonly records = new CrashRecords()
	private readonly upAt: number[]
	private runs: Run[] = []
	private now = 0
	private readonly random: () => number

	constructor(
		private readonly load: FleetLoad,
		seed: number
	) {
		const generator = xoroshiro128plus(seed)
		this.random = () => uniformFloat64(generator)
		this.upAt = Array.from({length: load.engines}, () => 0)
	}

	run(): void {
		const {load, random} = this
		for (this.now = 0; this.now < spanMs; this.now += stepMs) {
			this.endRuns()
			if (this.draws(load.crashesPerSecond)) {
				for (let i = 0; i < load.enginesPerCrash; i += 1)
					this.crash(Math.floor(random() * load.engines))
			}
			if (this.draws(load.requestsPerSecond)) this.request()
		}
	}

	private draws(perSecond: number): boolean {
		return this.random() < (perSecond * stepMs) / 1000
	}

	private endRuns(): void {
		const {now} = this
		const ended = this.runs.filter(run => run.answeredAt <= now)
		for (const run of ended) {
			if (!this.runs.includes(run)) continue
			if (run.isDeadly) {
				this.deadlyCrashes.push(now)
				this.crash(run.engine)
			} else this.records.addAnswer(run.parts, now, now)
		}
		this.runs = this.runs.filter(run => run.answeredAt > now)
	}

	private crash(engine: number): void {
		const {now, runs} = this
		if ((this.upAt[engine] ?? 0) > now) return
		this.upAt[engine] = now + downMs
		const lost = runs.filter(run => run.engine === engine)
		this.runs = runs.filter(run => run.engine !== engine)
		const list = (isBegun: boolean): string[] =>
			lost
				.filter(({begunAt}) => this.showsHead(begunAt) === isBegun)
				.flatMap(({parts}) => parts)
		const report = {
			endpointId: `i-${engine}`,
			bornAt: now,
			at: now,
			begunParts: list(true),
			waitingParts: list(false),
			answeredParts: []
		}
		this.records.mergeCrash(report, now)
	}

	private showsHead(begunAt: number): boolean {
		return this.load.showsHeads && begunAt <= this.now
	}

	private request(): void {
		const {load, random, now, records} = this
		const up = this.upAt.flatMap((at, engine) => (at <= now ? [engine] : []))
		const engine = up[Math.floor(random() * up.length)]
		if (engine === undefined) return
		const caller = Math.floor(load.callers ** random())
		const isDeadly = random() < load.deadlyShare
		const parts = [`sys${caller % 3}`, `caller${caller}`]
		if (isDeadly) parts.push("deadly")
		else this.soundRequests += 1
		const {verdict, charged} = judgePrompt(records, parts, {now})
		if (verdict === PromptVerdict.TurnAway) {
			if (!isDeadly) this.turnedAway += 1
			return
		}
		if (verdict === PromptVerdict.Trial)
			for (const part of charged) records.addTrial(part, now)
		if (isDeadly) this.deadlySends.push(now)
		const answeredAt = now + 100 + random() * 400
		const begunAt = answeredAt - headMs
		this.runs.push({engine, parts, begunAt, answeredAt, isDeadly})
	}
}
