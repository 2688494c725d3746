/**
 * Types of the grant scheduler, which runs in the agent of one engine: requests
 * and the decisions on them, orders to the engine, and the engine's reports.
 */

import type {RemainingWorkView} from "./remainingWork.js"

export interface PromptPart {
	id: string
	tokens: number
}

/** A gateway's request for permission (a grant) to send to the engine. */
export interface GrantRequest {
	/** Unique among the requests of all gateways. */
	key: string
	/** The caller's request id, under which the engine reports the run. */
	requestId: string
	/** Id of the gateway connection that sent the request. */
	owner: string
	model: string
	/** Empty for the base model itself. */
	adapter: string
	parts: readonly PromptPart[]
	promptTokens: number
	/** Tokens that the caller expects to generate; 0 when not stated. */
	outputTokens: number
	/** Predicted tokens of the answer; 0 or absent when unknown. */
	expectedOutputTokens?: number
	/** 0 is the most urgent. */
	priority: number
	/** Latency objective: a first event after this time counts as late. */
	objectiveAt: number
	/** Latest time at which the first event is still useful to the caller. */
	startBy: number
	/** Time at which the caller gives up. */
	deadline: number
}

export enum GrantRefusalReason {
	/** On arrival, the expected first event was later than `startBy`. */
	Overloaded = "overloaded",
	/** While queued, the request could no longer start by `startBy`. */
	Deadline = "deadline",
	/** The engine has not reported yet, or does not answer its agent. */
	Unavailable = "unavailable",
	/** The limit that the engine states leaves no turn before `startBy`. */
	Limit = "limit"
}

export enum GrantDecisionKind {
	Grant = "grant",
	Refuse = "refuse"
}

export interface GrantedDecision {
	kind: GrantDecisionKind.Grant
	request: GrantRequest
	/** Resident version of the adapter; 0 for the base model. */
	version: number
	/** Expected time until the engine has prefilled all granted prompts. */
	expectedMs: number
}

export interface RefusedDecision {
	kind: GrantDecisionKind.Refuse
	request: GrantRequest
	reason: GrantRefusalReason
	retryAfterMs: number
	/**
	 * On arrival, the expected time to the first event, or 0 if `Unavailable`.
	 * While queued, only the expected time to load the base model and to prefill.
	 */
	expectedMs: number
}

export type GrantDecision = GrantedDecision | RefusedDecision

export enum OrderKind {
	Load = "load",
	Unload = "unload"
}

/**
 * A load or unload command for the engine. The engine accepts it only while its
 * own sequence equals `expectedSequence`.
 */
export interface EngineOrder {
	kind: OrderKind
	model: string
	/** Empty for the base model. */
	adapter: string
	/** Version to load; 0 for the newest. */
	version: number
	/** Engine's count of accepted orders when this one was planned. */
	expectedSequence: number
}

export enum OrderOutcome {
	/** The engine has begun to execute the order. */
	Accepted = "accepted",
	/** The ordered state is in effect: the engine executed an unload at once, or
	 * nothing had to be done. */
	InEffect = "holds",
	/** The engine is another instance, or its sequence differs, as after another
	 * order. */
	Conflict = "conflict",
	/** Any other rejection, such as of an outdated fencing token. */
	Refused = "refused",
	/** No answer arrived; the engine may have executed it or still may. */
	Unanswered = "lost"
}

export interface ResidentAdapter {
	adapter: string
	version: number
}

export interface ResidentModel {
	name: string
	adapters: readonly ResidentAdapter[]
}

/** State that an engine reports to its agent. */
export interface EngineReport {
	/** Start time of the engine, Unix milliseconds; 0 when unknown. */
	bornAt: number
	sequence: number
	/** No order is sent to a busy engine, as during a base model load. */
	isBusy: boolean
	/** Running requests, including those that this agent did not grant. */
	running: number
	/** Request ids of the running requests, if the engine lists them. */
	runIds: readonly string[] | undefined
	models: readonly ResidentModel[]
	/** Adapters that are being loaded. */
	incoming: readonly {model: string; adapter: string; version: number}[]
	/** KV cache capacity, in tokens. */
	memoryTokens: number
	/** Limit on its requests that the engine states; undefined if it states none. */
	requestsPerSecond?: number | undefined
}

/** The engine's capacity and models, from the configuration. */
export interface EngineLimits {
	/** Requests that the engine runs at a time. */
	seats: number
	adapterSlots: number
	/** KV cache capacity, in tokens. */
	memoryTokens: number
	/** Memory for base models and adapters. */
	weightsMb: number
	models: readonly {
		name: string
		weightsMb: number
		adapterMb: number
		loadMs: number
	}[]
}

/** State of the scheduler and its engine, as told to gateways. */
export interface GrantSchedulerView {
	/** Whether the engine answers and a base model is resident or loading. */
	isUsable: boolean
	/** Expected time until the prefill of a new request for a resident adapter
	 * begins. */
	waitMs: number
	/** Prefill rate. */
	tokensPerSecond: number
	/** Available slots minus adapters that wait for one; may be negative. */
	freeSlots: number
	/** Expected interval at which slots become free. */
	slotStepMs: number
	/** Grants that have not ended, whether or not the engine runs them yet. */
	running: number
	/** What the engine still has to do for them. */
	work?: RemainingWorkView
	/** Lasting prefill rate; 0 while it is not known. */
	lastingTokensPerSecond?: number
}
