/**
 * Base class of what an endpoint process sends requests to: model engines, or
 * plain services.
 */
import type {ConfigRoot} from "../contract/config/index.js"
import type {ReportAck, Residency, RunRequest} from "../contract/gen/link_pb.js"
import type {HttpPlatform} from "../link/index.js"
import type {KeyScope} from "../policy/claimHome.js"
import type {AdapterName} from "../policy/index.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import type {Sink} from "./generation.js"
import type {EndpointSettings} from "./settings.js"

/** Capacity and load of the engines or services of this endpoint process. */
export interface PoolStats {
	/** Number of engines or services that can take work. */
	workers: number
	/** Number of requests that all workers together can run at a time. */
	seats: number
	/** Number of adapters that all engines can hold; 0 for plain services. */
	slots: number
	running: number
	queued: number
	/**
	 * Number of adapters that queued requests need and that are neither loaded nor
	 * loading.
	 */
	loadDemand: number
	/** Duration of the last successful adapter load; 0 before the first one. */
	loadMs: number
}

export interface MintedTicket {
	ticket: string
	expiresAt: number
}

export interface EndpointPoolOptions {
	settings: EndpointSettings
	/** Address under which other processes reach this one. */
	address: string
	incarnation: number
	platform: HttpPlatform
	counters: Counters
	log: Log
	/** Called when an adapter's residency or the load may have changed. */
	onChange: () => void
	/** Called when an endpoint has seen a fencing number above this process's. */
	onFenced: (endpoint: string, detail: string) => void
}

export abstract class EndpointPool {
	protected constructor(protected readonly options: EndpointPoolOptions) {}

	/**
	 * Starts a request and passes its events to `sink`. The returned function
	 * detaches the sink.
	 */
	abstract run(req: RunRequest, sink: Sink): () => void

	abstract getStats(): PoolStats

	/** Adapters that are loaded or loading. */
	abstract getResidency(): ReadonlyMap<AdapterName, Residency>

	/**
	 * Handles an entry's `ReportAck`, which has the load demand of the other
	 * processes and the hosts of this pool.
	 */
	abstract handleAck(ack: ReportAck): void

	/** Applies a newly installed configuration. */
	abstract configure(root: ConfigRoot): void

	/** Returns undefined when this type of pool has no tickets. */
	abstract mintTicket(scope: KeyScope): MintedTicket | undefined

	/**
	 * Rejects new requests. Resolves when the running ones have ended and, for
	 * plain services, their outcomes have been flushed to the claim log.
	 */
	abstract drain(): Promise<void>

	abstract close(): Promise<void>
}
