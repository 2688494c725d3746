/**
 * A fleet whose engines crash for many causes, as far as it matters to what hosts
 * learn of the parts of prompts. All hosts know the same.
 */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import {
	CrashRecords,
	createRequestPart,
	judgePrompt,
	PromptVerdict
} from "../index.js"

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
	/** Whether requests are to a plain service, with no parts; the same one is deadly. */
	isPlain: boolean
	/** Engines that one attempt may be sent to; callers of 0 don't come again either. */
	sends: number
	/** Share of the requests whose content comes again and again. */
	sameShare: number
}

interface Request {
	/** The request as a whole. */
	whole: string
	parts: string[]
	isDeadly: boolean
}

interface Run {
	request: Request
	engine: number
	begunAt: number
	answeredAt: number
	/** Engines that this attempt was sent to before. */
	sends: number
}

const downMs = 3000
const stepMs = 10
const spanMs = 60_000
const headMs = 20
/** Callers come again so long after an attempt that failed. */
const comeAgainMs = 50

export class FleetModel {
	/** Sound requests that were turned away. */
	turnedAway = 0
	/** Those of them that had not crashed with two engines since their last answer. */
	turnedAwayUnharmed = 0
	soundRequests = 0
	/** Times at which requests with the deadly part were sent. */
	readonly deadlySends: number[] = []
	/** Times of the crashes for that part. */
	readonly deadlyCrashes: number[] = []
	private readonly records = new CrashRecords()
	private readonly upAt: number[]
	private runs: Run[] = []
	private later: {at: number; request: Request; sends: number}[] = []
	/** Crashes at which a request was since its last answer. */
	private readonly harms = new Map<string, number>()
	private count = 0
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
			this.sendLater()
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
			const {isDeadly, parts, whole} = run.request
			if (isDeadly) {
				this.deadlyCrashes.push(now)
				this.crash(run.engine)
			} else {
				this.records.addAnswer([...parts, whole], now, now)
				this.harms.delete(whole)
			}
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
				.flatMap(({request: {parts, whole}}) => [...parts, whole])
		const report = {
			endpointId: `i-${engine}`,
			bornAt: now,
			at: now,
			begunParts: list(true),
			waitingParts: list(false),
			answeredParts: [],
			repeatedParts: lost
				.filter(({sends}) => sends > 0)
				.map(({request}) => request.whole)
		}
		this.records.mergeCrash(report, now)
		for (const {request, sends} of this.load.sends > 0 ? lost : []) {
			const {whole} = request
			this.harms.set(whole, (this.harms.get(whole) ?? 0) + 1)
			const isRepeat = sends + 1 < this.load.sends
			const at = now + (isRepeat ? stepMs : comeAgainMs)
			this.later.push({at, request, sends: isRepeat ? sends + 1 : 0})
		}
	}

	/** Sends what has to be sent again after a crash. */
	private sendLater(): void {
		const due = this.later.filter(({at}) => at <= this.now)
		this.later = this.later.filter(({at}) => at > this.now)
		for (const {request, sends} of due) {
			const engine = this.chooseEngine()
			if (engine !== undefined) this.send(request, sends, engine)
		}
	}

	private showsHead(begunAt: number): boolean {
		return this.load.showsHeads && begunAt <= this.now
	}

	private request(): void {
		const {load, random} = this
		const engine = this.chooseEngine()
		if (engine === undefined) return
		const caller = Math.floor(load.callers ** random())
		const isDeadly = random() < load.deadlyShare
		if (!isDeadly) this.soundRequests += 1
		this.count += 1
		if (load.isPlain) {
			const isSame = random() < load.sameShare
			const own = isSame ? `same${this.count % 3}` : `own${this.count}`
			const whole = createRequestPart(isDeadly ? "deadly" : own)
			this.send({whole, parts: [], isDeadly}, 0, engine)
			return
		}
		const whole = createRequestPart(`own${this.count}`)
		const parts = [`sys${caller % 3}`, `caller${caller}`]
		if (isDeadly) parts.push("deadly")
		this.send({whole, parts, isDeadly}, 0, engine)
	}

	private chooseEngine(): number | undefined {
		const {now, random} = this
		const up = this.upAt.flatMap((at, engine) => (at <= now ? [engine] : []))
		return up[Math.floor(random() * up.length)]
	}

	private send(request: Request, sends: number, engine: number): void {
		const {random, now, records} = this
		const {whole, parts, isDeadly} = request
		const {verdict, charged} = judgePrompt(records, [...parts, whole], {now})
		if (verdict === PromptVerdict.TurnAway) {
			if (isDeadly) return
			this.turnedAway += 1
			if ((this.harms.get(whole) ?? 0) < 2) this.turnedAwayUnharmed += 1
			return
		}
		if (verdict === PromptVerdict.Trial)
			for (const part of charged) records.addTrial(part, now)
		if (isDeadly) this.deadlySends.push(now)
		const answeredAt = now + 100 + random() * 400
		const begunAt = answeredAt - headMs
		this.runs.push({request, engine, begunAt, answeredAt, sends})
	}
}
