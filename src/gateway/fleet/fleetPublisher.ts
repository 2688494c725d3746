/**
 * Publishes this gateway's fleet state to the gateways that subscribe to it: a
 * snapshot on connection, then each change and a heartbeat. Each message states
 * how old this gateway's view of the store is.
 */
import type * as grpc from "@grpc/grpc-js"
import {
	create,
	type DescMessage,
	type MessageInitShape,
	type MessageShape
} from "@bufbuild/protobuf"
import {
	EndpointState,
	type FleetConfig,
	type FleetEndpoint
} from "../../contract/fleet.js"
import {
	AdapterNoticeSchema,
	type ConfirmAnswer,
	ConfirmAnswerSchema,
	EndpointNoticeSchema,
	type FleetUpdate,
	FleetUpdateSchema,
	RemovalSchema
} from "../../contract/gen/fleet_pb.js"
import {findEncodeError} from "../../link/encoding.js"
import {type FollowCall, startFollowServer} from "../../link/fleetLink.js"
import type {TlsKeys} from "../../link/tls.js"
import {bindWhenFree} from "../../program/bindWhenFree.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import {messageOf} from "../../utils/common.js"
import type {FleetState} from "./fleetState.js"
import {
	compressPublishedConfig,
	encodePublishedConfig
} from "./publishedConfig.js"

export interface FleetPublisherOptions {
	/** `ip:port`. */
	address: string
	fleet: FleetState
	/**
	 * Whether this gateway has recently read every kind of object from the store.
	 */
	isFresh: () => boolean
	/**
	 * Time since its view was known to have every change of the store, milliseconds;
	 * infinite if that is not known.
	 */
	getViewAgeMs: () => number
	/** Age of the proof that the configuration is the newest; infinite without one. */
	getProofAgeMs: () => number
	log: DecisionLog
	tls?: TlsKeys | undefined
}

/** A follower disconnects after three heartbeats without a message. */
const heartbeatMs = 500
const lapsedFields = "lapsed"
/** Followers connect within this time of a start, and of the loss of a connection. */
const reconnectMs = 5000

type Update = MessageInitShape<typeof FleetUpdateSchema>

/** What an update states of this gateway's view of the store. */
interface StatedView {
	isFresh: boolean
	viewAgeMs?: number
	era: number
}

interface ConfigFields {
	config?: Uint8Array
	compressedConfig?: Uint8Array
	configVersion?: number
}

export class FleetPublisher {
	private readonly subscribers = new Set<FollowCall>()
	/**
	 * Last published pool, address, state, start time and build, by endpoint id; a
	 * change of these is published. Registrations are rewritten at each heartbeat, so a new
	 * revision or residency alone is not. An endpoint whose registration is missing has
	 * `lapsedFields`, so that its return is a change.
	 */
	private readonly publishedFields = new Map<string, string>()
	private readonly stopping = new AbortController()
	private server: grpc.Server | undefined
	private timer: NodeJS.Timeout | undefined
	private compressed: {version: number; bytes: Uint8Array} | undefined
	private isPublishScheduled = false
	private reliedOnUntil = Number.NEGATIVE_INFINITY
	/** The view that the last update for all followers stated. */
	private lastView: StatedView = {isFresh: false, era: 0}

	constructor(private readonly options: FleetPublisherOptions) {
		options.fleet.addListener({
			onConfig: config => {
				this.publishConfig(config)
			},
			onVersion: version => {
				this.publish({versions: [version]})
			},
			onEndpoints: () => {
				this.schedulePublish()
			}
		})
	}

	/** Resolves after the first attempt to bind the address. */
	start(): Promise<void> {
		const {address, tls, log} = this.options
		this.reliedOnUntil = performance.now() + reconnectMs
		this.timer = setInterval(() => {
			this.publish({})
		}, heartbeatMs)
		return bindWhenFree({
			address,
			purpose: "other gateways",
			bind: ({isRetry, onError}) =>
				startFollowServer({
					address,
					tls,
					probesFirst: isRetry,
					onError,
					onCall: call => {
						this.addSubscriber(call)
					},
					confirm: () => this.confirm()
				}),
			onBound: server => {
				this.server = server
			},
			unbind: server => {
				server.forceShutdown()
			},
			signal: this.stopping.signal,
			log
		})
	}

	/**
	 * Whether a follower reads the store only if the views of others are too old, or may
	 * be about to connect.
	 */
	get isReliedOn(): boolean {
		const now = performance.now()
		const isNeeded = [...this.subscribers].some(({request}) => request.relies)
		if (isNeeded) this.reliedOnUntil = now + reconnectMs
		return now < this.reliedOnUntil
	}

	stop(): void {
		this.stopping.abort()
		clearInterval(this.timer)
		for (const call of this.subscribers) call.end()
		this.server?.forceShutdown()
	}

	private addSubscriber(call: FollowCall): void {
		const remove = (): void => {
			this.subscribers.delete(call)
		}
		call.on("cancelled", remove)
		call.on("error", remove)
		this.subscribers.add(call)
		const {config} = this.options.fleet
		const {configVersion = Number.NEGATIVE_INFINITY} = call.request
		const isNews = config !== undefined && config.version > configVersion
		const fields = isNews ? this.encodeConfig(config, call) : {}
		this.send([call], this.createSnapshot(fields), this.readView())
	}

	/** Sends a configuration to the followers, which each get it once. */
	private publishConfig(config: FleetConfig): void {
		const view = this.readView()
		this.publishRegained(view)
		for (const call of this.subscribers)
			this.send([call], this.encodeConfig(config, call), view)
	}

	private encodeConfig(
		config: FleetConfig,
		{request}: FollowCall
	): ConfigFields {
		if (!request.acceptsCompressed)
			return {config: encodePublishedConfig(config)}
		const {version: configVersion} = config
		if (this.compressed?.version !== configVersion) {
			const bytes = compressPublishedConfig(encodePublishedConfig(config))
			this.compressed = {version: configVersion, bytes}
		}
		return {compressedConfig: this.compressed.bytes, configVersion}
	}

	private confirm(): ConfirmAnswer {
		const {fleet, getProofAgeMs} = this.options
		const ageMs = getProofAgeMs()
		const version = fleet.config?.version
		return version === undefined || !Number.isFinite(ageMs)
			? create(ConfirmAnswerSchema, {hasProof: false})
			: create(ConfirmAnswerSchema, {hasProof: true, version, ageMs})
	}

	private createSnapshot(configFields: ConfigFields = {}): Update {
		const {fleet} = this.options
		return {
			...configFields,
			isWhole: true,
			endpoints: fleet.listEndpoints().map(encodeEndpoint),
			gone: fleet.listRemovals(),
			versions: fleet.listVersions()
		}
	}

	/** Publishes all endpoint changes of one event loop turn in one message. */
	private schedulePublish(): void {
		if (this.isPublishScheduled) return
		this.isPublishScheduled = true
		setImmediate(() => {
			this.isPublishScheduled = false
			this.publishEndpoints()
		})
	}

	private publishEndpoints(): void {
		const present = new Set<string>()
		const changed: FleetEndpoint[] = []
		for (const endpoint of this.options.fleet.listEndpoints()) {
			present.add(endpoint.id)
			const {pool, address, state, bornAt, build} = endpoint
			const isLapsed = this.options.fleet.isLapsed(endpoint.id)
			const fields = isLapsed
				? lapsedFields
				: `${pool} ${address} ${state} ${bornAt} ${build}`
			if (this.publishedFields.get(endpoint.id) === fields) continue
			this.publishedFields.set(endpoint.id, fields)
			if (!isLapsed) changed.push(endpoint)
		}
		const goneIds = new Set(
			[...this.publishedFields.keys()].filter(id => !present.has(id))
		)
		for (const id of goneIds) this.publishedFields.delete(id)
		if (changed.length === 0 && goneIds.size === 0) return
		const gone = this.options.fleet
			.listRemovals()
			.filter(({id}) => goneIds.has(id))
		this.publish({endpoints: changed.map(encodeEndpoint), gone})
	}

	private publish(update: Update): void {
		const view = this.readView()
		this.publishRegained(view)
		if (this.subscribers.size > 0) this.send(this.subscribers, update, view)
	}

	/**
	 * Publishes all but the configuration before the first update with a view that is
	 * fresh again, or of another era: followers ignored the endpoint changes since.
	 */
	private publishRegained(view: StatedView): void {
		const {isFresh, era} = this.lastView
		this.lastView = view
		const isRegained = view.isFresh && !(isFresh && view.era === era)
		if (isRegained && this.subscribers.size > 0)
			this.send(this.subscribers, this.createSnapshot(), view)
	}

	private readView(): StatedView {
		const {fleet, isFresh, getViewAgeMs} = this.options
		const view = {isFresh: isFresh(), era: fleet.era}
		const viewAgeMs = getViewAgeMs()
		return Number.isFinite(viewAgeMs) ? {...view, viewAgeMs} : view
	}

	private send(
		calls: Iterable<FollowCall>,
		update: Update,
		view: StatedView
	): void {
		const message = create(FleetUpdateSchema, {...update, ...view})
		const isSendable = findEncodeError(FleetUpdateSchema, message) === undefined
		if (!isSendable && !this.dropUnsendable(message)) return
		for (const call of calls) call.write(message)
	}

	/** Removes what can't be encoded. Returns whether the rest can be sent. */
	private dropUnsendable(message: FleetUpdate): boolean {
		const {log} = this.options
		const isSendable = <Desc extends DescMessage>(
			schema: Desc,
			part: MessageShape<Desc>
		): boolean => {
			const err = findEncodeError(schema, part)
			if (err === undefined) return true
			const error = messageOf(err)
			log.decide("message.unsendable", {kind: schema.name, error})
			return false
		}
		message.endpoints = message.endpoints.filter(part =>
			isSendable(EndpointNoticeSchema, part)
		)
		message.gone = message.gone.filter(part => isSendable(RemovalSchema, part))
		message.versions = message.versions.filter(part =>
			isSendable(AdapterNoticeSchema, part)
		)
		return isSendable(FleetUpdateSchema, message)
	}
}

function encodeEndpoint(
	endpoint: FleetEndpoint
): NonNullable<Update["endpoints"]>[number] {
	const {state, residents, ...rest} = endpoint
	return {
		...rest,
		residents: [...residents],
		isDraining: state === EndpointState.Draining
	}
}
