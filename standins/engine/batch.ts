/**
 * Simulates continuous batching. Up to `seats` sequences are decoded at the
 * same time, and each step generates one token for every sequence whose prefill
 * has ended. Further sequences wait in a queue.
 */
import {PrefixCache} from "./prefixCache.js"
import {type Sequence, SequenceState} from "./sequence.js"

export interface BatchOptions {
	/** Sequences that are decoded at the same time. */
	seats: number
	maxWaiting: number
	msPerToken: number
	prefillMsPerToken: number
	/** Called when a sequence leaves the queue and its prefill starts. */
	onStart(sequence: Sequence): void
	/** Called when a started sequence has finished or was aborted. */
	onEnd(sequence: Sequence): void
	onCounts(counts: BatchCounts): void
}

export interface BatchCounts {
	running: number
	waiting: number
}

/** Each sequence after the first makes a step longer by this ratio. */
const slowdownPerSequence = 0.02
/**
 * When a step starts later than this after the end of the previous one, the
 * batch does not shorten later steps to catch up.
 */
const maxStepLagMs = 50

export class Batch {
	steps = 0
	tokenSum = 0
	msPerToken: number
	private readonly waiting: Sequence[] = []
	private readonly running: Sequence[] = []
	private readonly prefixCache = new PrefixCache()
	/** Sequences that get a token at the end of the current step. */
	private stepSequences: Sequence[] = []
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

	/**
	 * Mean fraction of the seats that generated a token, over the steps that
	 * generated any.
	 */
	get efficiency(): number {
		if (this.steps === 0) return 0
		return this.tokenSum / (this.steps * this.options.seats)
	}

	/** Queues a sequence by priority, lowest number first, then by arrival. */
	add(sequence: Sequence): void {
		const {priority} = sequence.options
		const later = this.waiting.findIndex(
			({options}) => options.priority > priority
		)
		this.waiting.splice(later < 0 ? this.waiting.length : later, 0, sequence)
		this.updateBatch()
	}

	/** Aborts the matching sequences and returns how many there were. */
	abort(matches: (sequence: Sequence) => boolean): number {
		const aborted = [...this.running, ...this.waiting].filter(matches)
		for (const sequence of aborted) sequence.abort()
		this.updateBatch()
		return aborted.length
	}

	/** Evicts the cached prefixes of one adapter, or of all. */
	evictPrefixes(model?: string): void {
		this.prefixCache.evict(model)
	}

	setPaused(isPaused: boolean): void {
		if (this.isPaused === isPaused) return
		this.isPaused = isPaused
		if (!isPaused) this.startStep()
	}

	close(): void {
		this.isPaused = true
		clearTimeout(this.timer)
	}

	/**
	 * Removes ended sequences, fills free seats from the queue, and starts a step
	 * when none is in progress.
	 */
	private updateBatch(): void {
		for (const sequence of removeEnded(this.running)) {
			this.options.onEnd(sequence)
		}
		removeEnded(this.waiting)
		while (this.running.length < this.options.seats) {
			const next = this.waiting.shift()
			if (next === undefined) break
			this.startSequence(next)
		}
		const {running, waiting} = this
		this.options.onCounts({running: running.length, waiting: waiting.length})
		this.startStep()
	}

	private startSequence(sequence: Sequence): void {
		const {model, prompt} = sequence.options
		const isCached = this.prefixCache.touch(model, prompt)
		const {prefillMsPerToken} = this.options
		const prefillMs = isCached ? 0 : sequence.promptTokens * prefillMsPerToken
		sequence.prefillEndsAt = performance.now() + prefillMs
		sequence.state = SequenceState.Running
		this.running.push(sequence)
		this.options.onStart(sequence)
	}

	private startStep(): void {
		if (this.timer !== undefined || this.isPaused) return
		if (this.running.length === 0) return
		const now = performance.now()
		const firstPrefillEndsAt = Math.min(
			...this.running.map(({prefillEndsAt}) => prefillEndsAt)
		)
		const earliestStartAt =
			now - this.stepEndsAt > maxStepLagMs ? now : this.stepEndsAt
		const startsAt = Math.max(earliestStartAt, firstPrefillEndsAt)
		this.stepSequences = this.running.filter(
			({prefillEndsAt}) => prefillEndsAt <= startsAt
		)
		const slowdown = 1 + slowdownPerSequence * (this.stepSequences.length - 1)
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
		const activeSequences = this.stepSequences.filter(({isActive}) => isActive)
		if (activeSequences.length > 0) this.steps += 1
		this.tokenSum += activeSequences.length
		for (const sequence of activeSequences) sequence.produceToken()
		this.updateBatch()
	}
}

function removeEnded(sequences: Sequence[]): Sequence[] {
	const ended = sequences.filter(({isActive}) => !isActive)
	const active = sequences.filter(({isActive}) => isActive)
	sequences.splice(0, sequences.length, ...active)
	return ended
}
