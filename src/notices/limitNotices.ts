/** Limits that endpoints state: the latest statement counts. */
import {create} from "@bufbuild/protobuf"
import {type LimitNotice, LimitNoticeSchema} from "../contract/gen/grants_pb.js"
import type {StatedLimit, StatedLimits} from "../policy/limits/index.js"
import {type Notice, NoticeKind, type OnNews} from "./notice.js"

/** `stated` is undefined if the endpoint has no limit any more. */
export function createLimitNotice(
	endpointId: string,
	bornAt: number,
	stated: StatedLimit | undefined,
	now: number
): LimitNotice {
	if (stated?.perSecond === undefined)
		return create(LimitNoticeSchema, {endpointId, bornAt})
	const {perSecond, statedAt} = stated
	const ageMs = Math.round(now - statedAt)
	return create(LimitNoticeSchema, {endpointId, bornAt, perSecond, ageMs})
}

export class LimitNotices extends NoticeKind<LimitNotice> {
	constructor(
		private readonly limits: StatedLimits,
		private readonly onNews: OnNews<LimitNotice>
	) {
		super()
	}

	/** Others need only hear that an endpoint begins or ends to have a limit. */
	override merge(notice: LimitNotice, now: number, source: string): Notice[] {
		const {endpointId, bornAt, perSecond, ageMs} = notice
		const wasLimited = this.limits.get(endpointId, bornAt) !== undefined
		const statedAt = now - ageMs
		if (!this.limits.apply(endpointId, {bornAt, perSecond, statedAt})) return []
		this.onNews(notice, source)
		const isLimited = perSecond !== undefined
		return wasLimited === isLimited ? [] : [{case: "limit", value: notice}]
	}

	override list(now: number): LimitNotice[] {
		return this.limits
			.list()
			.map(([id, stated]) => createLimitNotice(id, stated.bornAt, stated, now))
	}
}
