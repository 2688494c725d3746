/**
 * Publishes this gateway's fleet state to the gateways that subscribe to it: a
 * snapshot on connection, then each change and a heartbeat. Each message states
 * whether this gateway's view of the store is fresh.
 */
import type * as grpc from "@grpc/grpc-js"
import {create, type MessageInitShape} from "@bufbuild/protobuf"
import {EndpointState, type FleetEndpoint} from "../contract/fleet.js"
import {FleetUpdateSchema} from "../contract/gen/fleet_pb.js"
import {type FollowCall, startFollowServer} from "../link/fleetLink.js"
import type {TlsKeys} from "../link/tls.js"
import type {FleetState} from "./fleetState.js"

export interface FleetPublisherOptions {
	/** `ip:port`. */
	address: string
	fleet: FleetState
	/**
	 * Whether this gateway has recently read every kind of object from the store.
	 */
	isFresh: () => boolean
	tls?: TlsKeys | undefined
}

/** A follower disconnects after three heartbeats without a message. */
const heartbeatMs = 500

type Update = MessageInitShape<typeof FleetUpdateSchema>

export class FleetPublisher {
	private readonly subscribers = new Set<FollowCall>()
	/**
	 * Last published pool, address, state and start time, by endpoint id; a change of
	 * these is published. Registrations are rewritten at each heartbeat, so a new
	 * revision or residency alone is not.
	 */
	private readonly publishedFields = new Map<string, string>()
	private server: grpc.Server | undefined
	private timer: NodeJS.Timeout | undefined
	private isPublishScheduled = false

	constructor(private readonly options: FleetPublisherOptions) {
		options.fleet.addListener({
			onConfig: config => {
				this.publish({config: encodeJson(config)})
			},
			onVersion: version => {
				this.publish({versions: [version]})
			},
			onEndpoints: () => {
				this.schedulePublish()
			}
		})
	}

	async start(): Promise<void> {
		const {address, tls} = this.options
		this.server = await startFollowServer({
			address,
			tls,
			onCall: call => {
				this.addSubscriber(call)
			}
		})
		this.timer = setInterval(() => {
			this.publish({})
		}, heartbeatMs)
	}

	stop(): void {
		clearInterval(this.timer)
		for (const call of this.subscribers) call.end()
		this.server?.forceShutdown()
	}

	private addSubscriber(call: FollowCall): void {
		const {fleet} = this.options
		const remove = (): void => {
			this.subscribers.delete(call)
		}
		call.on("cancelled", remove)
		call.on("error", remove)
		this.subscribers.add(call)
		const {config} = fleet
		const snapshot: Update = {
			isFresh: this.options.isFresh(),
			isWhole: true,
			endpoints: fleet.listEndpoints().map(encodeEndpoint),
			versions: fleet.listVersions(),
			...(config === undefined ? {} : {config: encodeJson(config)})
		}
		call.write(create(FleetUpdateSchema, snapshot))
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
			const {pool, address, state, bornAt} = endpoint
			const fields = `${pool} ${address} ${state} ${bornAt}`
			if (this.publishedFields.get(endpoint.id) === fields) continue
			this.publishedFields.set(endpoint.id, fields)
			changed.push(endpoint)
		}
		const gone = [...this.publishedFields.keys()]
			.filter(id => !present.has(id))
			.map(id => ({id, revision: this.options.fleet.getRemovalRevision(id)}))
		for (const {id} of gone) this.publishedFields.delete(id)
		if (changed.length === 0 && gone.length === 0) return
		this.publish({endpoints: changed.map(encodeEndpoint), gone})
	}

	private publish(update: Update): void {
		if (this.subscribers.size === 0) return
		const isFresh = this.options.isFresh()
		const message = create(FleetUpdateSchema, {...update, isFresh})
		for (const call of this.subscribers) call.write(message)
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

function encodeJson(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value), "utf8")
}
