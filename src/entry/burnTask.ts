/** Counts every request into the service levels that have its route. */
import type {ConfigRoot} from "../contract/config/index.js"
import {NotRunReason} from "../contract/gen/link_pb.js"
import type {Platform} from "../link/index.js"
import {BurnCause} from "../policy/burn.js"
import {BurnRecorder} from "../report/index.js"
import {type FailedOutcome, isUnknown} from "./outcome.js"

export interface EndedRequest {
	route: string
	member: string
	arrivedAt: number
	/** Undefined when the answer was whole. */
	failed: FailedOutcome | undefined
	loadStallMs: number
}

export class BurnTask {
	private readonly recorder: BurnRecorder
	private windows = new Map<string, number>()

	constructor(
		entryId: string,
		private readonly platform: Platform
	) {
		this.recorder = new BurnRecorder({entryId, incarnation: Date.now()})
		this.recorder.start(platform)
	}

	configure({settings}: ConfigRoot): void {
		const {serviceLevels} = settings
		this.recorder.setServiceLevels(serviceLevels)
		this.windows = new Map()
		for (const {routes, windowMs} of serviceLevels) {
			for (const route of routes) {
				const known = this.windows.get(route) ?? Infinity
				this.windows.set(route, Math.min(known, windowMs))
			}
		}
	}

	record({route, member, arrivedAt, failed, loadStallMs}: EndedRequest): void {
		const at = Date.now()
		const tookMs = at - arrivedAt
		const windowMs = this.windows.get(route) ?? Infinity
		const good = failed === undefined && tookMs <= windowMs
		const cause = good
			? BurnCause.Unknown
			: findCause(failed, loadStallMs, tookMs)
		this.recorder.record({route, member, good, cause, at})
	}

	async stop(): Promise<void> {
		await this.recorder.stop(this.platform)
	}
}

function findCause(
	failed: FailedOutcome | undefined,
	loadStallMs: number,
	tookMs: number
): BurnCause {
	if (failed === undefined) {
		const isStalled = loadStallMs > tookMs / 2
		return isStalled ? BurnCause.LoadStall : BurnCause.Queue
	}
	if (isUnknown(failed)) return BurnCause.Unknown
	if (failed.reason === NotRunReason.LOAD_FAILED) return BurnCause.LoadStall
	if (failed.reason === NotRunReason.ENDPOINT_REFUSED) {
		return BurnCause.EndpointError
	}
	return BurnCause.Refused
}
