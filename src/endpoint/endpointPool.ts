/** What stands beside an endpoint process: engines, or a plain service. */
import type {ConfigRoot} from "../contract/config/index.js"
import type {ReportAck, Residency, RunRequest} from "../contract/gen/link_pb.js"
import type {HttpPlatform} from "../link/index.js"
import type {KeyScope} from "../policy/claimHome.js"
import type {AdapterName} from "../policy/index.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import type {Sink} from "./generation.js"
import type {EndpointSettings} from "./settings.js"

/** Size and load of a pool's part on this host. */
export interface PoolFigures {
	/** Engines or services that can take work. */
	workers: number
	seats: number
	slots: number
	running: number
	queued: number
	loadDemand: number
	/** Time of the last adapter load. */
	loadMs: number
}

export interface MintedTicket {
	ticket: string
	expiresAt: number
}

export interface EndpointPoolOptions {
	settings: EndpointSettings
	/** Address that other processes reach this one at. */
	address: string
	incarnation: number
	platform: HttpPlatform
	counters: Counters
	log: Log
	/** Called when residency or load changed. */
	onChange: () => void
	/** An endpoint obeys a process with a higher fencing number. */
	onFenced: (endpoint: string, detail: string) => void
}

export abstract class EndpointPool {
	protected constructor(protected readonly options: EndpointPoolOptions) {}

	/** Starts a request; returns the function that stops reading. */
	abstract run(req: RunRequest, sink: Sink): () => void

	abstract figures(): PoolFigures

	/** Adapters that are loaded or loading. */
	abstract residency(): ReadonlyMap<AdapterName, Residency>

	/** Takes what an entry tells of the fleet. */
	abstract hear(ack: ReportAck): void

	/** Takes a later configuration. */
	abstract configure(root: ConfigRoot): void

	/** Undefined when calls to this pool need no tickets. */
	abstract mintTicket(scope: KeyScope): MintedTicket | undefined

	/** Refuses new work; resolves when what runs is finished and recorded. */
	abstract drain(): Promise<void>

	abstract close(): Promise<void>
}
