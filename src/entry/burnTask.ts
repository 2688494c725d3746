/**
 * Records each request that was routed, when it ends, for the service levels
 * that include its route. A request is good if its complete answer was sent
 * within the shortest window of these service levels; otherwise it is recorded
 * with the most likely cause.
 */
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
	/** Undefined when the complete answer was sent. */
	failed: FailedOutcome | undefined
	loadStallMs: number
}

export class BurnTask {
	private readonly recorder: BurnRecorder
	/** By route, the shortest window of the service levels that include it. */
	private windowMsByRoute = new Map<string, number>()

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
		this.windowMsByRoute = new Map()
		for (const {routes, windowMs} of serviceLevels) {
			for (const route of routes) {
				const shortestMs = this.windowMsByRoute.get(route) ?? Infinity
				this.windowMsByRoute.set(route, Math.min(shortestMs, windowMs))
			}
		}
	}

	record({route, member, arrivedAt, failed, loadStallMs}: EndedRequest): void {
		const at = Date.now()
		const tookMs = at - arrivedAt
		const windowMs = this.windowMsByRoute.get(route) ?? Infinity
		const good = failed === undefined && tookMs <= windowMs
		const cause = good
			? BurnCause.Unknown
			: classifyCause(failed, loadStallMs, tookMs)
		this.recorder.record({route, member, good, cause, at})
	}

	async stop(): Promise<void> {
		await this.recorder.stop(this.platform)
	}
}

function classifyCause(
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
