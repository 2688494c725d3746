/** What the stand-ins saw, and what must always hold in it. */
import {callJson, type Deployment} from "../deployment/index.js"
import {
	CallEnd,
	type CallResult,
	CallType,
	type PlannedCall
} from "../load/index.js"

interface EngineTruth {
	evictedInUse: number
	staleOrdersAccepted: number
	loads: number
	steps: number
	tokenSum: number
}

interface ServiceTruth {
	runs: number
	runsByKey: Record<string, number>
}

interface PlatformTruth {
	reads: number
	writes: number
	refused: number
	readsByKind: Record<string, number>
	writesByKind: Record<string, number>
}

interface WeightStoreTruth {
	loads: number
	failed: number
	peakInFlight: number
}

/** The stand-ins' counts at one moment. */
export interface Truth {
	at: number
	engines: EngineTruth[]
	services: ServiceTruth[]
	platform: PlatformTruth
	weightStore: WeightStoreTruth
}

/** Counts that must all be zero. */
export interface Violations {
	/** Keys that ran more than once. */
	ranTwice: number
	/** Calls refused as not run that did run. */
	ranThoughNotRun: number
	/** Submissions answered that never ran. */
	answeredWithoutRun: number
	evictedInUse: number
	wrongAnswers: number
}

export async function readTruth(deployment: Deployment): Promise<Truth> {
	const read = <T>(url: string): Promise<T> =>
		callJson<T>(`${url}/control/truth`)
	const {engineUrls, serviceUrls, platformUrl, weightStoreUrl} = deployment
	return {
		at: Date.now(),
		engines: await Promise.all(engineUrls.map(url => read<EngineTruth>(url))),
		services: await Promise.all(
			serviceUrls.map(url => read<ServiceTruth>(url))
		),
		platform: await read<PlatformTruth>(platformUrl),
		weightStore: await read<WeightStoreTruth>(weightStoreUrl)
	}
}

/** Remembers how calls ended, to compare with the stand-ins' truth. */
export class EndRecord {
	private readonly notRunKeys: string[] = []
	private readonly answeredKeys: string[] = []
	private wrongAnswers = 0

	add({kind, id}: PlannedCall, {end, sends}: CallResult): void {
		if (end === CallEnd.Wrong) this.wrongAnswers += 1
		if (kind.type !== CallType.Submission) return
		const isAnswered = end === CallEnd.Answered || end === CallEnd.Late
		if (isAnswered) this.answeredKeys.push(keyOf(id))
		// After a send of unknown end, "not run" speaks of the last send only.
		if (end === CallEnd.NotRun && sends === 1) this.notRunKeys.push(keyOf(id))
	}

	check({engines, services}: Truth): Violations {
		const runs = new Map<string, number>()
		for (const {runsByKey} of services) {
			for (const [key, count] of Object.entries(runsByKey)) {
				runs.set(key, (runs.get(key) ?? 0) + count)
			}
		}
		const count = (keys: Iterable<string>, isBad: (n: number) => boolean) =>
			[...keys].filter(key => isBad(runs.get(key) ?? 0)).length
		return {
			ranTwice: count(runs.keys(), n => n > 1),
			ranThoughNotRun: count(this.notRunKeys, n => n > 0),
			answeredWithoutRun: count(this.answeredKeys, n => n === 0),
			evictedInUse: sum(engines.map(engine => engine.evictedInUse)),
			wrongAnswers: this.wrongAnswers
		}
	}
}

export function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0)
}

export function countViolations(violations: Violations): number {
	return sum(Object.values(violations) as number[])
}

function keyOf(id: string): string {
	return `key-${id}`
}
