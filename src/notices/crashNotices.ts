/**
 * Crashes of engines with prompts unanswered, and trials of parts of such prompts.
 * Both merge into the same records.
 */
import {create} from "@bufbuild/protobuf"
import {
	type CrashNotice,
	CrashNoticeSchema,
	type TrialNotice,
	TrialNoticeSchema
} from "../contract/gen/grants_pb.js"
import type {CrashRecords, CrashReport} from "../policy/crashes/index.js"
import {type Notice, NoticeKind, type OnNews} from "./notice.js"

export function createCrashNotice(
	{at, ...report}: CrashReport,
	now: number
): CrashNotice {
	return create(CrashNoticeSchema, {
		endpointId: report.endpointId,
		bornAt: report.bornAt,
		ageMs: getAgeMs(at, now),
		begunParts: [...report.begunParts],
		waitingParts: [...report.waitingParts],
		answeredParts: [...report.answeredParts],
		repeatedParts: [...(report.repeatedParts ?? [])]
	})
}

export function createTrialNotice(
	parts: readonly string[],
	at: number,
	now: number
): TrialNotice {
	const ageMs = getAgeMs(at, now)
	return create(TrialNoticeSchema, {parts: [...parts], ageMs})
}

/** The union of what hosts saw of each crash and of the answers since. */
export class CrashNotices extends NoticeKind<CrashNotice> {
	constructor(
		private readonly records: CrashRecords,
		private readonly onNews: OnNews<CrashNotice>
	) {
		super()
	}

	override merge(notice: CrashNotice, now: number, source: string): Notice[] {
		const report = {...notice, at: now - notice.ageMs}
		const {isNews, correction} = this.records.mergeCrash(report, now)
		const notices: Notice[] = isNews ? [{case: "crash", value: notice}] : []
		if (isNews) this.onNews(notice, source)
		if (correction !== undefined)
			notices.push({case: "crash", value: createCrashNotice(correction, now)})
		return notices
	}

	override list(now: number): CrashNotice[] {
		return this.records.listOpen().map(report => createCrashNotice(report, now))
	}
}

/** The latest trial of each part. */
export class TrialNotices extends NoticeKind<TrialNotice> {
	constructor(
		private readonly records: CrashRecords,
		private readonly onNews: OnNews<TrialNotice>
	) {
		super()
	}

	override merge(notice: TrialNotice, now: number, source: string): Notice[] {
		const at = now - notice.ageMs
		const news = notice.parts.filter(part => this.records.addTrial(part, at))
		if (news.length === 0) return []
		this.onNews(notice, source)
		return [{case: "trial", value: notice}]
	}

	override list(now: number): TrialNotice[] {
		return this.records
			.listTrials()
			.map(([part, at]) => createTrialNotice([part], at, now))
	}
}

function getAgeMs(at: number, now: number): number {
	return Math.max(0, Math.round(now - at))
}
