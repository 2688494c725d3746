/**
 * What a host knows of engines that crashed while prompts were unanswered, merged
 * from all hosts: the order in which reports arrive, and how often, changes nothing.
 *
 * - Reports of one crash add up. Parts of answers that had begun go before those of
 *   prompts that waited, because an engine crashes as it begins to write.
 * - A part that was answered after a crash did not cause it, for good.
 * - Of the trials of a part the latest counts.
 * - A request as a whole is one more part, and charged apart from those of prompts: it
 *   would explain each of its crashes as well as a part that others share.
 */
import {type Charge, listCharges} from "./charges.js"
import {
	addParts,
	createAnswerReport,
	createRecord,
	type CrashRecord,
	type CrashReport,
	findRequests,
	isOpenIn,
	isSameCrash,
	listOpenParts,
	suspectParts,
	suspectRequests
} from "./crashRecord.js"

export interface MergedCrash {
	/** Whether hosts that know what was known before must hear the report. */
	isNews: boolean
	/** What this host knows against the report, which others must hear. */
	correction: CrashReport | undefined
}

/** Several times the crashes that may matter at a time; the oldest are dropped. */
const maxCrashes = 256
/** Answered parts remembered, for reports of crashes that arrive after the answer. */
const maxAnswers = 10_000
const maxTrials = 1000
/** What hosts take for the time of one trial differs by less. */
const sameTrialMs = 500
/** A crash that is older is charged to nobody. Several times the longest time between
 * two trials. */
const crashLifetimeMs = 2 * 60 * 60 * 1000

export class CrashRecords {
	/** The one that was reported first at the begin. */
	private crashes: CrashRecord[] = []
	/** Time of the last answer, by part; the one answered last at the end. */
	private readonly answers = new Map<string, number>()
	private readonly trials = new Map<string, number>()
	private chargesByPart: ReadonlyMap<string, readonly Charge[]> = new Map()
	private hasRequests = false

	/** Whether a request as a whole may have caused a crash. */
	get suspectsRequests(): boolean {
		return this.hasRequests
	}

	/** Charges against a part, each with the parts that it can't be told from. */
	listCharges(part: string): readonly Charge[] {
		return this.chargesByPart.get(part) ?? []
	}

	listChargedParts(): string[] {
		return [...this.chargesByPart.keys()]
	}

	getTrialAt(part: string): number {
		return this.trials.get(part) ?? Number.NEGATIVE_INFINITY
	}

	mergeCrash(report: CrashReport, now: number): MergedCrash {
		if (now - report.at > crashLifetimeMs)
			return {isNews: false, correction: undefined}
		const known = this.crashes.find(record => isSameCrash(record, report))
		const record = known ?? createRecord(report)
		if (known === undefined) this.crashes.push(record)
		record.at = Math.min(record.at, report.at)
		const {begunParts, waitingParts, answeredParts, repeatedParts} = report
		const counts = [
			addParts(record.begun, begunParts),
			addParts(record.waiting, waitingParts),
			addParts(record.answered, answeredParts),
			addParts(record.repeated, repeatedParts ?? [])
		]
		record.open = undefined
		const isNews = known === undefined || counts.some(count => count > 0)
		const refuted = this.listAnsweredSince(record)
		addParts(record.answered, refuted)
		record.open = undefined
		if (this.crashes.length > maxCrashes) this.dropCrash()
		if (isNews || refuted.length > 0) this.update(now)
		const correction =
			refuted.length === 0 ? undefined : createAnswerReport(record, refuted)
		return {isNews, correction}
	}

	/**
	 * Records that an engine answered prompts with these parts. Returns what others
	 * must hear: the crashes that the parts did not cause.
	 */
	addAnswer(parts: readonly string[], at: number, now: number): CrashReport[] {
		for (const part of parts) {
			const known = this.answers.get(part) ?? Number.NEGATIVE_INFINITY
			this.answers.delete(part)
			this.answers.set(part, Math.max(known, at))
			dropOldest(this.answers, maxAnswers)
		}
		if (!parts.some(part => this.isOpen(part))) return []
		const reports: CrashReport[] = []
		for (const record of this.crashes) {
			if (at <= record.at) continue
			const cleared = parts.filter(part => isOpenIn(record, part))
			if (cleared.length === 0) continue
			addParts(record.answered, cleared)
			record.open = undefined
			reports.push(createAnswerReport(record, cleared))
		}
		if (reports.length > 0) this.update(now)
		return reports
	}

	/** Records a trial of a part. Returns whether it is another one than is known. */
	addTrial(part: string, at: number): boolean {
		if (at <= this.getTrialAt(part) + sameTrialMs) return false
		this.trials.delete(part)
		this.trials.set(part, at)
		dropOldest(this.trials, maxTrials)
		return true
	}

	/** Crashes with parts that have not been answered since. */
	listOpen(): CrashReport[] {
		return this.crashes
			.filter(record => listOpenParts(record).length > 0)
			.map(({endpointId, bornAt, at, ...record}) => ({
				endpointId,
				bornAt,
				at,
				begunParts: [...record.begun],
				waitingParts: [...record.waiting],
				answeredParts: [...record.answered],
				repeatedParts: [...record.repeated]
			}))
	}

	listTrials(): [string, number][] {
		return [...this.trials]
	}

	/** Forgets crashes that are too old to matter. */
	expire(now: number): void {
		const count = this.crashes.length
		this.crashes = this.crashes.filter(({at}) => now - at <= crashLifetimeMs)
		if (this.crashes.length < count) this.update(now)
	}

	private isOpen(part: string): boolean {
		return this.crashes.some(record => isOpenIn(record, part))
	}

	private listAnsweredSince(record: CrashRecord): string[] {
		const parts = [...record.begun, ...record.waiting]
		return parts.filter(part => {
			const answeredAt = this.answers.get(part) ?? Number.NEGATIVE_INFINITY
			return isOpenIn(record, part) && answeredAt > record.at
		})
	}

	/** Drops the oldest crash that no charge of several rests on, else the oldest. */
	private dropCrash(): void {
		const isNeeded = (part: string): boolean =>
			this.listCharges(part).some(({engines}) => engines > 1)
		// The last one has just been reported.
		const spare = this.crashes
			.slice(0, -1)
			.findIndex(record => !listOpenParts(record).some(isNeeded))
		this.crashes.splice(Math.max(0, spare), 1)
	}

	private update(now: number): void {
		const records = this.crashes.filter(({at}) => now - at <= crashLifetimeMs)
		const requests = findRequests(records)
		const charges = [
			...listCharges(records.map(suspectParts)),
			...listCharges(records.map(item => suspectRequests(item, requests.again)))
		]
		const byPart = new Map<string, Charge[]>()
		for (const charge of charges) {
			for (const part of charge.parts) {
				const known = byPart.get(part)
				if (known === undefined) byPart.set(part, [charge])
				else known.push(charge)
			}
		}
		this.chargesByPart = byPart
		this.hasRequests = requests.all.size > 0
	}
}

function dropOldest(entries: Map<string, unknown>, capacity: number): void {
	if (entries.size <= capacity) return
	const [oldest] = entries.keys()
	if (oldest !== undefined) entries.delete(oldest)
}
