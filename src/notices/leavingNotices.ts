/** Endpoints that stated that they are leaving: once for each incarnation, for good. */
import type {LeavingNotice} from "../contract/gen/grants_pb.js"
import {type Notice, NoticeKind, type OnNews} from "./notice.js"

/** Several times the endpoints of a large fleet. */
const maxRemembered = 10_000
/** Several times the time that an endpoint takes to leave. */
const tellMs = 120_000

export class LeavingNotices extends NoticeKind<LeavingNotice> {
	/** By incarnation, the one heard of first at the begin. */
	private readonly heard = new Map<
		string,
		{notice: LeavingNotice; heardAt: number}
	>()

	constructor(private readonly onNews: OnNews<LeavingNotice>) {
		super()
	}

	override merge(notice: LeavingNotice, now: number, source: string): Notice[] {
		const incarnation = `${notice.endpointId}@${notice.bornAt}`
		if (this.heard.has(incarnation)) return []
		this.heard.set(incarnation, {notice, heardAt: now})
		if (this.heard.size > maxRemembered) this.dropOldest()
		this.onNews(notice, source)
		return [{case: "leaving", value: notice}]
	}

	override list(now: number): LeavingNotice[] {
		return [...this.heard.values()]
			.filter(({heardAt}) => now - heardAt < tellMs)
			.map(({notice}) => notice)
	}

	private dropOldest(): void {
		const [oldest] = this.heard.keys()
		if (oldest !== undefined) this.heard.delete(oldest)
	}
}
