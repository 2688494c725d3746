/** Faults and ground truth of a platform stand-in. */
import {z} from "zod"
import {HostRole, HostState} from "../../src/host/host.js"
import {commonFaults, type Counts} from "../common/index.js"

export const platformFaults = z.strictObject({
	...commonFaults,
	/** This many further writes take effect without an answer. */
	loseAnswers: z.number().int().min(0),
	/** Limits `loseAnswers` to one kind; empty for all. */
	loseAnswersKind: z.string(),
	/** Reads and lists show the state of that long ago. */
	staleReadMs: z.number().min(0),
	/** Every watch is answered with 410. */
	watchGap: z.boolean(),
	writesPerSecond: z.number().positive(),
	readsPerSecond: z.number().positive(),
	hostLagMs: z.number().min(0)
})

export type PlatformFaults = z.infer<typeof platformFaults>

export interface PlatformTruth {
	revision: number
	reads: number
	writes: number
	readsByKind: Counts
	writesByKind: Counts
	/** Calls over the budget. */
	refused: number
	/** Writes that expected another version. */
	conflicts: number
	/** Writes that took effect without an answer. */
	lost: number
}

/** Body of a call that sets the list of hosts. */
export const hostList = z.strictObject({
	hosts: z.array(
		z.strictObject({
			id: z.string(),
			role: z.enum(HostRole),
			address: z.string(),
			failureDomain: z.string(),
			pool: z.string(),
			state: z.enum(HostState)
		})
	)
})
