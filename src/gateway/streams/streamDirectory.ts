/**
 * Where streams began: remembers it for the streams that this gateway forwards,
 * tells agents, and asks them when a caller resumes the stream of another gateway.
 */
import {create} from "@bufbuild/protobuf"
import {
	type OriginAnswer,
	type StreamOrigin as OriginNotice,
	StreamOriginSchema
} from "../../contract/gen/grants_pb.js"
import {
	BuildHistory,
	type StreamOrigin,
	StreamOrigins
} from "../../policy/streams/index.js"
import type {AgentLinks} from "../links/agentLinks.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {BuildRecorder} from "./buildRecorder.js"
import type {ViewCheck} from "./viewCheck.js"

export interface StreamDirectoryOptions {
	fleet: FleetState
	links: AgentLinks
	recorder: BuildRecorder
	/** Whether changes of the endpoints reach this gateway. */
	isViewFresh: () => boolean
	/** Undefined where the endpoints come from no store. */
	viewCheck: ViewCheck | undefined
	/** Monotonic milliseconds. */
	now: () => number
}

/** Several times the streams that one gateway begins while callers may resume them. */
const maxKnownOrigins = 20_000
/** Agents that remember a stream besides the one that granted it. */
const maxRelays = 2
/**
 * Agents that are asked about a stream: all in a small fleet. In a large one the
 * relays of a stream are among the first, also if gateways know other engines.
 */
const maxAsked = 32
/** Several times the time of a call to an agent in another failure domain. */
const answerTimeoutMs = 150

interface Lookup {
	/** Engines whose agents have yet to answer. */
	readonly pending: Set<string>
	/** Each is called once. */
	readonly onDone: ((origin: StreamOrigin | undefined) => void)[]
	readonly timer: NodeJS.Timeout
}

export class StreamDirectory {
	private readonly origins = new StreamOrigins(maxKnownOrigins)
	private readonly builds = new BuildHistory()
	private readonly lookups = new Map<string, Lookup>()

	constructor(private readonly options: StreamDirectoryOptions) {
		options.fleet.addListener({
			onEndpoints: () => {
				this.updateBuilds()
			}
		})
	}

	/**
	 * Remembers a stream whose first event was forwarded, here and, while its origin
	 * may decide a resumption, at agents besides that of `engineId`.
	 */
	add(origin: StreamOrigin, engineId: string): void {
		const {now} = this.options
		const spanMs = origin.expiresAt - now()
		this.origins.add(origin, now())
		const {pool} = origin
		if (this.findSettled(pool, spanMs) === undefined)
			this.announce([origin], engineId)
	}

	/** The message that tells an agent of a stream. */
	createNotice(origin: StreamOrigin): OriginNotice {
		const {requestId, pool, build, expiresAt} = origin
		const keepMs = Math.max(0, Math.round(expiresAt - this.options.now()))
		return create(StreamOriginSchema, {requestId, pool, build, keepMs})
	}

	/** Notes that changes of the endpoints may be missed. To be called regularly. */
	tick(): void {
		const {isViewFresh, now} = this.options
		if (!isViewFresh()) this.builds.noteUnseen(now())
	}

	/** Records that a stream of the pool began at an engine of unknown build. */
	noteUnknownBuild(pool: string): void {
		this.builds.noteUnseen(this.options.now(), pool)
	}

	/**
	 * The build at which all streams of the last `spanMs` began: the pool's only one
	 * for as long, or the only one of which the platform's record knows. Undefined if
	 * there may have been another.
	 */
	findSettled(pool: string, spanMs: number): string | undefined {
		const {recorder, isViewFresh, now} = this.options
		const sole = this.builds.findSole(pool)
		if (sole === undefined || !isViewFresh()) return undefined
		if (this.builds.isSettled(pool, {now: now(), spanMs})) return sole
		const isRecorded =
			!this.builds.hasChanged(pool) && recorder.isSole(pool, sole)
		return isRecorded ? sole : undefined
	}

	/** Calls back with whether all endpoints are known that joined before this call. */
	checkView(onDone: (isCurrent: boolean) => void): void {
		const {viewCheck} = this.options
		if (viewCheck === undefined) onDone(true)
		else viewCheck.run(onDone)
	}

	/**
	 * Calls back with the origin of a stream, or with undefined when no agent that
	 * could be asked knows it.
	 */
	find(
		requestId: string,
		onDone: (origin: StreamOrigin | undefined) => void
	): void {
		const {links, now} = this.options
		const known = this.origins.find(requestId, now())
		const running = this.lookups.get(requestId)
		if (known !== undefined) onDone(known)
		else if (running !== undefined) running.onDone.push(onDone)
		else {
			const asked = links.rankLinked(requestId, maxAsked)
			if (asked.length === 0) {
				onDone(undefined)
				return
			}
			const timer = setTimeout(() => {
				this.endLookup(requestId, undefined)
			}, answerTimeoutMs)
			const pending = new Set(asked)
			this.lookups.set(requestId, {pending, onDone: [onDone], timer})
			for (const id of asked) links.get(id)?.findOrigin(requestId)
		}
	}

	/** Applies the answer of the agent of `engineId`. */
	applyAnswer(engineId: string, {requestId, origin}: OriginAnswer): void {
		const now = this.options.now()
		if (origin !== undefined) {
			const {pool, build, keepMs} = origin
			const found = {requestId, pool, build, expiresAt: now + keepMs}
			this.origins.add(found, now)
			this.endLookup(requestId, found)
			return
		}
		const pending = this.lookups.get(requestId)?.pending
		pending?.delete(engineId)
		if (pending?.size === 0) this.endLookup(requestId, undefined)
	}

	private endLookup(requestId: string, origin: StreamOrigin | undefined): void {
		const lookup = this.lookups.get(requestId)
		if (lookup === undefined) return
		this.lookups.delete(requestId)
		clearTimeout(lookup.timer)
		for (const onDone of lookup.onDone) onDone(origin)
	}

	/** Tells the first agents of each stream's order, except that of `engineId`. */
	private announce(origins: readonly StreamOrigin[], engineId?: string): void {
		const {links} = this.options
		const notices = new Map<string, OriginNotice[]>()
		for (const origin of origins) {
			const ranked = links.rankLinked(origin.requestId, maxRelays + 1)
			const relays = ranked.filter(id => id !== engineId).slice(0, maxRelays)
			for (const id of relays) {
				const list = notices.get(id) ?? []
				list.push(this.createNotice(origin))
				notices.set(id, list)
			}
		}
		for (const [id, list] of notices) links.get(id)?.announceOrigins(list)
	}

	private updateBuilds(): void {
		const {fleet, now} = this.options
		const pools = new Map<string, Set<string>>()
		for (const {pool, build} of fleet.listEndpoints()) {
			const builds = pools.get(pool) ?? new Set()
			builds.add(build)
			pools.set(pool, builds)
		}
		for (const [pool, builds] of pools) {
			if (!this.builds.update(pool, builds, now())) continue
			// Until now only the agents that granted these streams know them.
			this.announce(this.origins.list(pool, now()))
		}
	}
}
