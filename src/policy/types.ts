/**
 * Types shared by the decision modules. Nothing here performs I/O: time is
 * passed in as milliseconds since the Unix epoch, randomness as a number in
 * [0, 1).
 */

/** Order of service: a lower value goes first. */
export enum RequestClass {
	Status = 1,
	Booking = 2,
	Interactive = 3,
	Deferrable = 4
}

/** `base:adapter@version`, as callers name it. */
export type AdapterName = string

/** A generation waiting for, or running on, an engine. */
export interface Draft {
	id: string
	adapter: AdapterName
	member: string
	class: RequestClass
	/** Time by which the answer must be complete. */
	deadline: number
	arrivedAt: number
	/** Upper bound of the tokens to generate. */
	maxTokens: number
	/** Hash of the prompt's first characters, for prefix-cache affinity. */
	prefixHash: number
}

/** Why a request is refused without having been started. */
export enum RefusalReason {
	Deadline = "deadline",
	Overloaded = "overloaded",
	Leaving = "leaving",
	LoadFailed = "loadFailed",
	Cancelled = "cancelled"
}

/** The operator's weights between the two measures. */
export interface Objective {
	/** Weight of load stalls, 0 to 1. */
	loadStalls: number
	/** Weight of batch efficiency, 0 to 1. */
	batchEfficiency: number
}

/** Part of the weight store's capacity that one endpoint process may use. */
export interface LoadShare {
	loadsPerSecond: number
	/** May be a fraction; at least one load is always possible over time. */
	inFlight: number
}
