/** One crash of an engine or endpoint, as all hosts together saw it. */
import type {OpenCrash} from "./charges.js"
import {isRequestPart} from "./requestPart.js"

interface CrashIdentity {
	endpointId: string
	/** Start time of the incarnation that ended, Unix milliseconds; 0 when unknown. */
	bornAt: number
	/** Time at which the first host noticed. */
	at: number
}

/** What one host saw of a crash, or what is known of it. */
export interface CrashReport extends CrashIdentity {
	/** Shared parts of prompts on which an answer had begun, without events so far. */
	begunParts: readonly string[]
	/** Shared parts of prompts that were sent and not begun. */
	waitingParts: readonly string[]
	/** Those of either that were answered after the crash. */
	answeredParts: readonly string[]
	/**
	 * Requests whose send began after an endpoint had ended under the same attempt of
	 * their caller.
	 */
	repeatedParts?: readonly string[]
}

export interface CrashRecord extends CrashIdentity {
	readonly begun: Set<string>
	readonly waiting: Set<string>
	readonly answered: Set<string>
	readonly repeated: Set<string>
	/** Those that were not answered since; undefined until they are asked for. */
	open: readonly string[] | undefined
}

/** Bounds what one crash takes; an engine runs some 64 prompts of a few parts each. */
const maxPartsPerCrash = 256
/** An engine that has crashed takes longer than this to crash again. */
const sameCrashMs = 1000

/**
 * Whether two reports are about the same crash: of the same incarnation or, as hosts
 * may not know the start time or only an earlier one, of the same moment.
 */
export function isSameCrash(a: CrashIdentity, b: CrashIdentity): boolean {
	if (a.endpointId !== b.endpointId) return false
	if (a.bornAt !== 0 && a.bornAt === b.bornAt) return true
	return Math.abs(a.at - b.at) < sameCrashMs
}

export function createRecord({
	endpointId,
	bornAt,
	at
}: CrashIdentity): CrashRecord {
	return {
		endpointId,
		bornAt,
		at,
		begun: new Set(),
		waiting: new Set(),
		answered: new Set(),
		repeated: new Set(),
		open: undefined
	}
}

export function createAnswerReport(
	{endpointId, bornAt, at}: CrashIdentity,
	answeredParts: readonly string[]
): CrashReport {
	return {
		endpointId,
		bornAt,
		at,
		begunParts: [],
		waitingParts: [],
		answeredParts
	}
}

export function isOpenIn(record: CrashRecord, part: string): boolean {
	const {begun, waiting, answered} = record
	return (begun.has(part) || waiting.has(part)) && !answered.has(part)
}

export function listOpenParts(record: CrashRecord): readonly string[] {
	record.open ??= [...record.begun, ...record.waiting].filter(
		part => !record.answered.has(part)
	)
	return record.open
}

/** Parts of prompts that may have caused the crash, as far as is known. */
export function suspectParts(record: CrashRecord): OpenCrash {
	const {at, begun, repeated} = record
	const open = listOpenParts(record).filter(part => !isRequestPart(part))
	const begunParts = open.filter(part => begun.has(part))
	const hasBegun = begunParts.length > 0
	const suspects = new Set(hasBegun ? begunParts : open)
	return {at, suspects, hasBegun, repeated}
}

/** Requests as a whole that are open at a crash, and those that are at several. */
export function findRequests(
	records: readonly CrashRecord[]
): Record<"all" | "again", Set<string>> {
	const all = new Set<string>()
	const again = new Set<string>()
	for (const part of records.flatMap(listOpenParts)) {
		if (!isRequestPart(part)) continue
		if (all.has(part)) again.add(part)
		else all.add(part)
	}
	return {all, again}
}

/**
 * Of the requests that were at several crashes, those that may have caused this one.
 * That one waited is no reason to suspect it less: it is the same as a whole.
 */
export function suspectRequests(
	record: CrashRecord,
	again: ReadonlySet<string>
): OpenCrash {
	const {at, repeated} = record
	const open = listOpenParts(record).filter(part => again.has(part))
	return {at, suspects: new Set(open), hasBegun: true, repeated}
}

/** Returns how many parts were not there before. */
export function addParts(parts: Set<string>, added: readonly string[]): number {
	const count = parts.size
	for (const part of added) {
		if (parts.size < maxPartsPerCrash) parts.add(part)
	}
	return parts.size - count
}
