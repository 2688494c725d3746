/**
 * Subscribes to the fleet updates of the gateways that watch the platform's
 * store. While the views of at least two of them are recent enough, this gateway
 * needs no watch of its own, since each of them delivers every change.
 */
import {EndpointState, type FleetEndpoint} from "../../contract/fleet.js"
import type {
	ConfirmAnswer,
	EndpointNotice,
	FleetUpdate
} from "../../contract/gen/fleet_pb.js"
import {openFollowStream, type OpenFollowStream} from "../../link/fleetLink.js"
import type {TlsKeys} from "../../link/tls.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import {messageOf} from "../../utils/common.js"
import type {FleetState} from "./fleetState.js"
import {
	decodePublishedConfig,
	inflatePublishedConfig
} from "./publishedConfig.js"

export interface FleetFollowerOptions {
	/** Host name of this gateway. */
	gateway: string
	/** `ip:port` of each other gateway that may watch the store. */
	sources: readonly string[]
	fleet: FleetState
	log: DecisionLog
	/** Whether this gateway reads the store only while its sources are too old. */
	relies: boolean
	/** Age of a source's view of the store from which it isn't relied on, milliseconds. */
	maxViewAgeMs: number
	/** Monotonic milliseconds. */
	now: () => number
	tls?: TlsKeys | undefined
}

interface Source {
	address: string
	open: OpenFollowStream | undefined
	lastReceivedAt: number
	openedAt: number
	/** Whether its last update stated that its view of the store is fresh. */
	isFresh: boolean
	/** Time until which its view is recent enough, as its last update stated its age. */
	reliableUntil: number
	/** Whether it publishes Members; assumed until it has published a configuration. */
	knowsMembers: boolean
}

/** Three heartbeats of the publishing gateway. */
const receiveTimeoutMs = 1500
const reconnectDelayMs = 1000
/** One source may have lost the store without having noticed it yet. */
const minFreshSources = 2

export class FleetFollower {
	private readonly sources: Source[]

	constructor(private readonly options: FleetFollowerOptions) {
		this.sources = options.sources.map(address => ({
			address,
			open: undefined,
			lastReceivedAt: Number.NEGATIVE_INFINITY,
			openedAt: Number.NEGATIVE_INFINITY,
			isFresh: false,
			reliableUntil: Number.NEGATIVE_INFINITY,
			knowsMembers: true
		}))
	}

	/** Whether enough sources with a recent view deliver the store's changes. */
	get isCovered(): boolean {
		return this.options.now() < this.coveredUntil
	}

	/**
	 * Time until which enough sources have a recent view, if nothing more is received.
	 * Sources whose build doesn't state the age of its view don't count.
	 */
	get coveredUntil(): number {
		const deadlines = this.sources
			.filter(({isFresh, knowsMembers}) => isFresh && knowsMembers)
			.map(({reliableUntil}) => reliableUntil)
			.sort((a, b) => b - a)
		return deadlines[minFreshSources - 1] ?? Number.NEGATIVE_INFINITY
	}

	/** Addresses of the connected sources that may be asked to confirm. */
	listConnected(): string[] {
		return this.sources
			.filter(
				({open, knowsMembers, lastReceivedAt, openedAt}) =>
					open !== undefined && knowsMembers && lastReceivedAt >= openedAt
			)
			.map(({address}) => address)
	}

	/** Asks a source to confirm the configuration; see `OpenFollowStream`. */
	confirm(
		address: string,
		onAnswer: (answer: ConfirmAnswer | undefined) => void
	): void {
		const source = this.sources.find(known => known.address === address)
		if (source?.open === undefined) onAnswer(undefined)
		else source.open.confirm(onAnswer)
	}

	/** Connects to sources, and disconnects from those that time out. */
	tick(): void {
		const now = this.options.now()
		for (const source of this.sources) {
			const lastActivityAt = Math.max(source.lastReceivedAt, source.openedAt)
			if (source.open === undefined) {
				if (now - source.openedAt >= reconnectDelayMs) this.connect(source)
			} else if (now - lastActivityAt > receiveTimeoutMs)
				this.disconnect(source, "silent")
		}
	}

	stop(): void {
		for (const source of this.sources) source.open?.close()
	}

	private connect(source: Source): void {
		const {gateway, fleet, relies, tls, now} = this.options
		source.openedAt = now()
		const {version: configVersion} = fleet.config ?? {}
		const open = openFollowStream(source.address, {
			gateway,
			configVersion,
			relies,
			tls
		})
		const {stream} = open
		source.open = open
		source.knowsMembers = true
		stream.on("data", (update: FleetUpdate) => {
			if (source.open !== open) return
			source.lastReceivedAt = now()
			this.tryApply(update, source)
		})
		stream.on("error", err => {
			if (source.open === open) this.disconnect(source, messageOf(err))
		})
		stream.on("end", () => {
			if (source.open === open) this.disconnect(source, "closed")
		})
	}

	private disconnect(source: Source, reason: string): void {
		source.open?.close()
		source.open = undefined
		if (!source.isFresh) return
		source.isFresh = false
		this.options.log.decide("source.lost", {source: source.address, reason})
	}

	/** An update that can't be applied ends nothing but itself. */
	private tryApply(update: FleetUpdate, source: Source): void {
		try {
			this.applyUpdate(update, source)
		} catch (err) {
			const error = messageOf(err)
			this.options.log.decide("update.failed", {source: source.address, error})
		}
	}

	private applyUpdate(update: FleetUpdate, source: Source): void {
		const {fleet, log, maxViewAgeMs, now} = this.options
		const {viewAgeMs = Number.POSITIVE_INFINITY} = update
		source.reliableUntil = now() - viewAgeMs + maxViewAgeMs
		// A source that has not noticed the store's return from a copy is stale.
		const isFresh = update.isFresh && update.era >= fleet.era
		if (source.isFresh !== isFresh) {
			source.isFresh = isFresh
			const event = isFresh ? "source.fresh" : "source.stale"
			const {era} = update
			log.decide(event, {source: source.address, era, known: fleet.era})
		}
		if (isFresh) fleet.noteEra(update.era, source.address)
		this.applyConfig(update, source)
		const heardAt = update.isWhole ? undefined : now()
		for (const version of update.versions) fleet.applyVersion(version, heardAt)
		// A source that lost the store may still list removed endpoints, so its list
		// is used only while this gateway knows no endpoints.
		if (!isFresh && fleet.listEndpoints().length > 0) return
		fleet.applyPublished(
			update.endpoints.map(decodeEndpoint),
			update.gone,
			now()
		)
	}

	private applyConfig(update: FleetUpdate, source: Source): void {
		const {fleet, log} = this.options
		const {config: plain, compressedConfig, configVersion} = update
		const isCompressed = compressedConfig.length > 0
		if (!isCompressed && plain.length === 0) return
		const known = fleet.config?.version ?? Number.NEGATIVE_INFINITY
		if (isCompressed && configVersion <= known) return
		try {
			const config = decodePublishedConfig(
				isCompressed ? inflatePublishedConfig(compressedConfig) : plain
			)
			if (config !== undefined) fleet.applyConfig(config, source.address)
			else if (source.knowsMembers) {
				source.knowsMembers = false
				log.decide("source.withoutMembers", {source: source.address})
			}
		} catch (err) {
			const error = messageOf(err)
			log.decide("config.unreadable", {source: source.address, error})
		}
	}
}

function decodeEndpoint(notice: EndpointNotice): FleetEndpoint {
	const {id, pool, address, failureDomain, seats, bornAt, build} = notice
	const {isDraining, residents, era, revision} = notice
	const state = isDraining ? EndpointState.Draining : EndpointState.Ready
	return {
		id,
		pool,
		address,
		failureDomain,
		seats,
		bornAt,
		build,
		residents,
		era,
		revision,
		state
	}
}
