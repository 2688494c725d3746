/** Faults that an engine stand-in injects, and the counts that it reports. */
import {z} from "zod"
import {commonFaultSchemas, type Counts} from "../common/index.js"

export const engineFaultsSchema = z.strictObject({
	...commonFaultSchemas,
	/**
	 * Simulates one restart at once: drops adapters, sequences, cached prefixes
	 * and the highest fencing token, cuts all calls and changes the incarnation.
	 */
	coldRestart: z.boolean(),
	/** Number of next loads that fail with 502. */
	failLoads: z.number().int().min(0),
	/** Answers the load and unload orders with 503. */
	refuseOrders: z.boolean(),
	msPerToken: z.number().positive(),
	/** Aborts the next completion after this many events; 0 for never. */
	cutStreamsAfter: z.number().int().min(0),
	/** Events name another model than the one that generated the text. */
	wrongEcho: z.boolean(),
	/** Omits one event in the middle of the next completion. */
	dropEvent: z.boolean(),
	/** Age of the running and waiting counts that `/v1/load` reports. */
	loadLagMs: z.number().min(0)
})

export type EngineFaults = z.infer<typeof engineFaultsSchema>

/** A completion that generated its whole text. */
export interface EngineAnswer {
	requestId: string
	model: string
	loraPath: string
	tokens: number
}

export interface EngineTruth {
	/** Completions that generated their whole text, in the order they ended. */
	answers: EngineAnswer[]
	/** Number of started sequences by request id. */
	runsById: Counts
	/** Sequences aborted because their adapter was unloaded. */
	evictedInUse: number
	coldRestarts: number
	/** Load and unload orders with a stale fencing token that were executed. */
	staleOrdersAccepted: number
	staleOrdersRefused: number
	/** Successful adapter loads. */
	loads: number
	/** Decode steps that generated at least one token. */
	steps: number
	/** Tokens generated in all steps. */
	tokenSum: number
	/** Mean fraction of the seats that generated a token in these steps. */
	batchEfficiency: number
}
