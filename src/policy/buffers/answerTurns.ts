/**
 * Decides which answers of endpoints are read on. One endpoint's unfinished answers
 * may take a share of the process's bound; beyond it only its largest ones are read,
 * since those end first: whole, or by the bound on one answer.
 */

export interface AnswerTurnsOptions {
	/** Bytes of an endpoint's unfinished answers beyond which they are read in turns. */
	maxEndpointBytes: number
}

/** What is to be done now, so that only those are read that may be. */
export interface TurnChange<Call> {
	paused: readonly Call[]
	resumed: readonly Call[]
}

interface EndpointAnswers<Call> {
	bytes: number
	/** Bytes of the unfinished answer of each call. */
	calls: Map<Call, number>
	paused: Set<Call>
}

/** More than one, as one whose endpoint stalls must not hold up the others. */
const maxReaders = 4
/** Answers with less are read on: streams whose next event is not complete. */
const minPausedBytes = 16_384
/** Share of an endpoint's bytes at which all of its answers are read again. */
const resumeShare = 0.5
/** Share of what a process holds from which unfinished answers are the cause. */
const causeShare = 0.5

export class AnswerTurns<Call> {
	private readonly endpoints = new Map<string, EndpointAnswers<Call>>()

	constructor(private readonly options: AnswerTurnsOptions) {}

	/** Counts bytes of a call's answer; negative ones were passed on or dropped. */
	add(endpointId: string, call: Call, bytes: number): TurnChange<Call> {
		const answers = this.endpoints.get(endpointId) ?? {
			bytes: 0,
			calls: new Map<Call, number>(),
			paused: new Set<Call>()
		}
		this.endpoints.set(endpointId, answers)
		answers.bytes += bytes
		answers.calls.set(call, (answers.calls.get(call) ?? 0) + bytes)
		return this.update(answers)
	}

	/** The call has ended. */
	close(endpointId: string, call: Call): TurnChange<Call> {
		const answers = this.endpoints.get(endpointId)
		if (answers === undefined) return {paused: [], resumed: []}
		answers.bytes -= answers.calls.get(call) ?? 0
		answers.calls.delete(call)
		answers.paused.delete(call)
		if (answers.calls.size === 0) this.endpoints.delete(endpointId)
		return this.update(answers)
	}

	/**
	 * The call that ends first while the process holds too much: the largest one to the
	 * endpoint with the most bytes, if unfinished answers are most of what is held. One
	 * of each endpoint doesn't count, since a sound one may be as large.
	 */
	choose(heldBytes: number): Call | undefined {
		const all = [...this.endpoints.values()]
		const bytes = all.reduce((sum, each) => sum + countBeyondOne(each), 0)
		if (bytes === 0 || bytes < heldBytes * causeShare) return undefined
		const [worst] = all.sort((a, b) => countBeyondOne(b) - countBeyondOne(a))
		return worst === undefined ? undefined : listLargest(worst, 1)[0]
	}

	private update(answers: EndpointAnswers<Call>): TurnChange<Call> {
		const {maxEndpointBytes} = this.options
		const {bytes, calls, paused} = answers
		if (paused.size === 0 && bytes <= maxEndpointBytes)
			return {paused: [], resumed: []}
		if (bytes <= maxEndpointBytes * resumeShare) {
			const resumed = [...paused]
			paused.clear()
			return {paused: [], resumed}
		}
		const readers = new Set(listLargest(answers, maxReaders))
		const isOver = bytes > maxEndpointBytes
		const change = {
			paused: [...calls]
				.filter(([, held]) => isOver && held >= minPausedBytes)
				.map(([call]) => call)
				.filter(call => !paused.has(call) && !readers.has(call)),
			resumed: [...paused].filter(call => readers.has(call))
		}
		for (const call of change.paused) paused.add(call)
		for (const call of change.resumed) paused.delete(call)
		return change
	}
}

/** Bytes of an endpoint's unfinished answers except the largest one. */
function countBeyondOne<Call>({bytes, calls}: EndpointAnswers<Call>): number {
	return bytes - Math.max(0, ...calls.values())
}

/** At most `count` calls, those with the most bytes first. */
function listLargest<Call>(
	{calls}: EndpointAnswers<Call>,
	count: number
): Call[] {
	const largest: [Call, number][] = []
	for (const entry of calls) {
		const after = largest.findIndex(([, bytes]) => bytes < entry[1])
		if (after >= 0) largest.splice(after, 0, entry)
		else largest.push(entry)
		if (largest.length > count) largest.pop()
	}
	return largest.map(([call]) => call)
}
