/**
 * Follows the gateways that watch the platform's store. While two of them have
 * heard from the store lately, this gateway needs no watch of its own: a change
 * reaches it through either.
 */
import {
	EndpointState,
	type FleetConfig,
	type FleetEndpoint
} from "../contract/fleet.js"
import type {EndpointNotice, FleetUpdate} from "../contract/gen/fleet_pb.js"
import {openFollowStream} from "../link/fleetLink.js"
import type {TlsKeys} from "../link/tls.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {messageOf} from "../utils/common.js"
import type {FleetState} from "./fleetState.js"

export interface FleetFollowerOptions {
	gateway: string
	/** `ip:port` of each gateway that may watch the store. */
	sources: readonly string[]
	fleet: FleetState
	log: DecisionLog
	now: () => number
	tls?: TlsKeys | undefined
}

interface Source {
	address: string
	close: (() => void) | undefined
	heardAt: number
	openedAt: number
	isFresh: boolean
}

/** Three heartbeats. */
const silenceMs = 1500
const reopenMs = 1000
/** One source may be cut off from the store without knowing it yet. */
const neededSources = 2

export class FleetFollower {
	private readonly sources: Source[]

	constructor(private readonly options: FleetFollowerOptions) {
		this.sources = options.sources.map(address => ({
			address,
			close: undefined,
			heardAt: Number.NEGATIVE_INFINITY,
			openedAt: Number.NEGATIVE_INFINITY,
			isFresh: false
		}))
	}

	/** Whether changes surely reach this gateway through others. */
	get isCovered(): boolean {
		const now = this.options.now()
		const heard = this.sources.filter(
			({isFresh, heardAt}) => isFresh && now - heardAt < silenceMs
		)
		return heard.length >= neededSources
	}

	/** Opens and reopens streams, and drops silent ones. */
	tick(): void {
		const now = this.options.now()
		for (const source of this.sources) {
			const lastAt = Math.max(source.heardAt, source.openedAt)
			if (source.close === undefined) {
				if (now - source.openedAt >= reopenMs) this.open(source)
			} else if (now - lastAt > silenceMs) this.drop(source, "silent")
		}
	}

	stop(): void {
		for (const source of this.sources) source.close?.()
	}

	private open(source: Source): void {
		const {gateway, tls, now} = this.options
		source.openedAt = now()
		const {stream, close} = openFollowStream(source.address, gateway, tls)
		source.close = close
		stream.on("data", (update: FleetUpdate) => {
			if (source.close !== close) return
			source.heardAt = now()
			this.apply(update, source)
		})
		stream.on("error", err => {
			if (source.close === close) this.drop(source, messageOf(err))
		})
		stream.on("end", () => {
			if (source.close === close) this.drop(source, "closed")
		})
	}

	private drop(source: Source, reason: string): void {
		source.close?.()
		source.close = undefined
		if (!source.isFresh) return
		source.isFresh = false
		this.options.log.decide("source.lost", {source: source.address, reason})
	}

	private apply(update: FleetUpdate, source: Source): void {
		const {fleet, log, now} = this.options
		if (source.isFresh !== update.isFresh) {
			source.isFresh = update.isFresh
			const event = update.isFresh ? "source.fresh" : "source.stale"
			log.decide(event, {source: source.address})
		}
		this.applyConfig(update.config, source)
		for (const version of update.versions) fleet.applyVersion(version)
		// A source that lags behind the store must not bring back what has left.
		if (!update.isFresh && fleet.listEndpoints().length > 0) return
		for (const endpoint of update.endpoints) {
			fleet.applyEndpoint(decodeEndpoint(endpoint))
		}
		for (const {id, revision} of update.gone) {
			fleet.applyRemoval(id, revision, false, now())
		}
	}

	private applyConfig(bytes: Uint8Array, source: Source): void {
		if (bytes.length === 0) return
		const {fleet, log} = this.options
		try {
			const text = Buffer.from(bytes).toString("utf8")
			fleet.applyConfig(JSON.parse(text) as FleetConfig, source.address)
		} catch (err) {
			const error = messageOf(err)
			log.decide("config.unreadable", {source: source.address, error})
		}
	}
}

function decodeEndpoint(notice: EndpointNotice): FleetEndpoint {
	const {id, pool, address, failureDomain, seats, bornAt} = notice
	const {isDraining, residents, revision} = notice
	const state = isDraining ? EndpointState.Draining : EndpointState.Ready
	return {
		id,
		pool,
		address,
		failureDomain,
		seats,
		bornAt,
		residents,
		revision,
		state
	}
}
