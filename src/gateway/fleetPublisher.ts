/** Tells gateways that follow this one what it knows of the fleet. */
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
	/** Whether the store has been heard from lately. */
	isFresh: () => boolean
	tls?: TlsKeys | undefined
}

/** A follower counts this gateway as lost after a few of these. */
const heartbeatMs = 500

type Update = MessageInitShape<typeof FleetUpdateSchema>

export class FleetPublisher {
	private readonly calls = new Set<FollowCall>()
	private readonly sent = new Map<string, string>()
	private server: grpc.Server | undefined
	private timer: NodeJS.Timeout | undefined
	private isDirty = false

	constructor(private readonly options: FleetPublisherOptions) {
		options.fleet.listen({
			onConfig: config => {
				this.publish({config: encodeJson(config)})
			},
			onVersion: version => {
				this.publish({versions: [version]})
			},
			onEndpoints: () => {
				this.markDirty()
			}
		})
	}

	async start(): Promise<void> {
		const {address, tls} = this.options
		this.server = await startFollowServer({
			address,
			tls,
			onCall: call => {
				this.accept(call)
			}
		})
		this.timer = setInterval(() => {
			this.publish({})
		}, heartbeatMs)
	}

	stop(): void {
		clearInterval(this.timer)
		for (const call of this.calls) call.end()
		this.server?.forceShutdown()
	}

	private accept(call: FollowCall): void {
		const {fleet} = this.options
		const remove = (): void => {
			this.calls.delete(call)
		}
		call.on("cancelled", remove)
		call.on("error", remove)
		this.calls.add(call)
		const {config} = fleet
		const first: Update = {
			isFresh: this.options.isFresh(),
			isWhole: true,
			endpoints: fleet.listEndpoints().map(encodeEndpoint),
			versions: fleet.listVersions(),
			...(config === undefined ? {} : {config: encodeJson(config)})
		}
		call.write(create(FleetUpdateSchema, first))
	}

	/** Changes of one moment go out together. */
	private markDirty(): void {
		if (this.isDirty) return
		this.isDirty = true
		setImmediate(() => {
			this.isDirty = false
			this.publishEndpoints()
		})
	}

	private publishEndpoints(): void {
		const present = new Set<string>()
		const changed: FleetEndpoint[] = []
		for (const endpoint of this.options.fleet.listEndpoints()) {
			present.add(endpoint.id)
			const {pool, address, state, bornAt} = endpoint
			const text = `${pool} ${address} ${state} ${bornAt}`
			if (this.sent.get(endpoint.id) === text) continue
			this.sent.set(endpoint.id, text)
			changed.push(endpoint)
		}
		const gone = [...this.sent.keys()]
			.filter(id => !present.has(id))
			.map(id => ({id, revision: this.options.fleet.getRemovedAt(id)}))
		for (const {id} of gone) this.sent.delete(id)
		if (changed.length === 0 && gone.length === 0) return
		this.publish({endpoints: changed.map(encodeEndpoint), gone})
	}

	private publish(update: Update): void {
		if (this.calls.size === 0) return
		const isFresh = this.options.isFresh()
		const message = create(FleetUpdateSchema, {...update, isFresh})
		for (const call of this.calls) call.write(message)
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
