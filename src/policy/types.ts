/**
 * Types shared by the policy modules. These modules perform no I/O: their
 * callers pass the time as milliseconds since the Unix epoch, and a random
 * number in [0, 1) where one is needed.
 */

/** Priority classes; the class with the lowest number is served first. */
export enum RequestClass {
	Status = 1,
	Booking = 2,
	Interactive = 3,
	Deferrable = 4
}

/** `base:adapter@version`, as callers name it. */
export type AdapterName = string

/** A text generation that is queued for an engine or running on one. */
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

/** Why a request was refused before it started. */
export enum RefusalReason {
	Deadline = "deadline",
	Overloaded = "overloaded",
	Leaving = "leaving",
	LoadFailed = "loadFailed",
	Cancelled = "cancelled"
}

/** The operator's relative weights of two scheduling goals. */
export interface Objective {
	/** Weight of avoiding load stalls, 0 to 1. */
	loadStalls: number
	/** Weight of batch efficiency, 0 to 1. */
	batchEfficiency: number
}

/** Part of the weight store's capacity that one endpoint process may use. */
export interface LoadShare {
	loadsPerSecond: number
	/**
	 * Loads in flight. May be a fraction: below 1, loads run one at a time and
	 * their starts are spaced.
	 */
	inFlight: number
}
