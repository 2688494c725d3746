/** Faults and ground truth of an engine stand-in. */
import {z} from "zod"
import {commonFaults, type Counts} from "../common/index.js"

export const engineFaults = z.strictObject({
	...commonFaults,
	/** Restarts at once with nothing loaded. */
	coldRestart: z.boolean(),
	/** This many further loads fail. */
	failLoads: z.number().int().min(0),
	/** Loads and unloads are answered with 503. */
	refuseOrders: z.boolean(),
	msPerToken: z.number().positive(),
	/** Cuts the next stream after this many events; zero for not. */
	cutStreamsAfter: z.number().int().min(0),
	/** Events name another model than the one that ran. */
	wrongEcho: z.boolean(),
	/** Skips one event of the next stream. */
	dropEvent: z.boolean(),
	loadLagMs: z.number().min(0)
})

export type EngineFaults = z.infer<typeof engineFaults>

/** A completion that ended whole. */
export interface EngineAnswer {
	requestId: string
	model: string
	loraPath: string
	tokens: number
}

export interface EngineTruth {
	/** Whole answers, in the order in which they ended. */
	answers: EngineAnswer[]
	/** Runs by request id. */
	runsById: Counts
	/** Sequences that lost their adapter before they ended. */
	evictedInUse: number
	coldRestarts: number
	staleOrdersAccepted: number
	staleOrdersRefused: number
	loads: number
	steps: number
	tokenSum: number
	batchEfficiency: number
}
