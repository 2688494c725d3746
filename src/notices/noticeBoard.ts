/** All facts that a host knows from others or passes on, by their kind. */
import type {
	CrashNotice,
	LeavingNotice,
	LimitNotice,
	TrialNotice
} from "../contract/gen/grants_pb.js"
import type {Notice, NoticeKind} from "./notice.js"

export interface NoticeKinds {
	leaving: NoticeKind<LeavingNotice>
	limit: NoticeKind<LimitNotice>
	crash: NoticeKind<CrashNotice>
	trial: NoticeKind<TrialNotice>
}

export class NoticeBoard {
	constructor(private readonly kinds: NoticeKinds) {}

	/** Returns what other hosts must hear, as `NoticeKind.merge`. */
	merge(notice: Notice, now: number, source: string): Notice[] {
		const {leaving, limit, crash, trial} = this.kinds
		switch (notice.case) {
			case "leaving":
				return leaving.merge(notice.value, now, source)
			case "limit":
				return limit.merge(notice.value, now, source)
			case "crash":
				return crash.merge(notice.value, now, source)
			case "trial":
				return trial.merge(notice.value, now, source)
		}
	}

	list(now: number): Notice[] {
		const {leaving, limit, crash, trial} = this.kinds
		return [
			...leaving.list(now).map(value => ({case: "leaving" as const, value})),
			...limit.list(now).map(value => ({case: "limit" as const, value})),
			...crash.list(now).map(value => ({case: "crash" as const, value})),
			...trial.list(now).map(value => ({case: "trial" as const, value}))
		]
	}
}
