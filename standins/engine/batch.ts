/** Continuous batching: seats, waiting sequences and timed decode steps. */
import {PrefixCache} from "./prefixCache.js"
import {type Sequence, SequenceState} from "./sequence.js"

export interface BatchOptions {
	seats: number
	maxWaiting: number
	msPerToken: number
	prefillMsPerToken: number
	/** Called when a sequence takes a seat, when one ends, and on new counts. */
	onStart(sequence: Sequence): void
	onEnd(sequence: Sequence): void
	onCounts(counts: BatchCounts): void
}

export interface BatchCounts {
	running: number
	waiting: number
}

/** Share by which each further sequence slows a step. */
const slowdownPerSequence = 0.02
/** A clock later than this skips steps instead of catching up. */
const maxLateMs = 50

export class Batch {
	steps = 0
	tokenSum = 0
	msPerToken: number
	private readonly waiting: Sequence[] = []
	private readonly running: Sequence[] = []
	private readonly cache = new PrefixCache()
	/** The sequences that get a token at the end of the current step. */
	private members: Sequence[] = []
	private stepEndsAt = 0
	private timer: NodeJS.Timeout | undefined
	private isPaused = false

	constructor(private readonly options: BatchOptions) {
		this.msPerToken = options.msPerToken
	}

	get isFull(): boolean {
		const {seats, maxWaiting} = this.options
		const limit = seats + maxWaiting
		return this.running.length + this.waiting.length >= limit
	}

	/** Share of seats that busy steps used. */
	get efficiency(): number {
		if (this.steps === 0) return 0
		return this.tokenSum / (this.steps * this.options.seats)
	}

	/** Queues by priority, then by arrival. */
	add(sequence: Sequence): void {
		const {priority} = sequence.options
		const later = this.waiting.findIndex(
			({options}) => options.priority > priority
		)
		this.waiting.splice(later < 0 ? this.waiting.length : later, 0, sequence)
		this.settle()
	}

	/** Aborts the sequences that match and returns their number. */
	abort(matches: (sequence: Sequence) => boolean): number {
		const aborted = [...this.running, ...this.waiting].filter(matches)
		for (const sequence of aborted) sequence.abort()
		this.settle()
		return aborted.length
	}

	/** Forgets the cached prefixes of one adapter, or of all. */
	dropPrefixes(model?: string): void {
		this.cache.drop(model)
	}

	pause(isPaused: boolean): void {
		if (this.isPaused === isPaused) return
		this.isPaused = isPaused
		if (!isPaused) this.startStep()
	}

	close(): void {
		this.isPaused = true
		clearTimeout(this.timer)
	}

	/** Removes what has ended, fills free seats and starts a step if idle. */
	private settle(): void {
		for (const sequence of removeEnded(this.running)) {
			this.options.onEnd(sequence)
		}
		removeEnded(this.waiting)
		while (this.running.length < this.options.seats) {
			const next = this.waiting.shift()
			if (next === undefined) break
			this.start(next)
		}
		const {running, waiting} = this
		this.options.onCounts({running: running.length, waiting: waiting.length})
		this.startStep()
	}

	private start(sequence: Sequence): void {
		const {model, prompt} = sequence.options
		const isCached = this.cache.touch(model, prompt)
		const {prefillMsPerToken} = this.options
		const prefillMs = isCached ? 0 : sequence.promptTokens * prefillMsPerToken
		sequence.readyAt = performance.now() + prefillMs
		sequence.state = SequenceState.Running
		this.running.push(sequence)
		this.options.onStart(sequence)
	}

	private startStep(): void {
		if (this.timer !== undefined || this.isPaused) return
		if (this.running.length === 0) return
		const now = performance.now()
		const firstReadyAt = Math.min(...this.running.map(({readyAt}) => readyAt))
		const clock = now - this.stepEndsAt > maxLateMs ? now : this.stepEndsAt
		const startsAt = Math.max(clock, firstReadyAt)
		this.members = this.running.filter(({readyAt}) => readyAt <= startsAt)
		const slowdown = 1 + slowdownPerSequence * (this.members.length - 1)
		this.stepEndsAt = startsAt + this.msPerToken * slowdown
		this.timer = setTimeout(() => {
			this.endStep()
		}, this.stepEndsAt - now)
	}

	private endStep(): void {
		this.timer = undefined
		if (this.isPaused) return
		const now = performance.now()
		for (const sequence of [...this.running, ...this.waiting]) {
			if (sequence.expiresAt <= now) sequence.abort()
		}
		const members = this.members.filter(({isActive}) => isActive)
		if (members.length > 0) this.steps += 1
		this.tokenSum += members.length
		for (const sequence of members) sequence.produceToken()
		this.settle()
	}
}

function removeEnded(sequences: Sequence[]): Sequence[] {
	const ended = sequences.filter(({isActive}) => !isActive)
	const active = sequences.filter(({isActive}) => isActive)
	sequences.splice(0, sequences.length, ...active)
	return ended
}
