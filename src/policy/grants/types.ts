/** Types of the decisions of the agent beside an engine. */

export interface PromptPart {
	id: string
	tokens: number
}

/** A request that a gateway asks to send to the engine. */
export interface GrantRequest {
	/** Unique over all gateways. */
	key: string
	/** The caller's id, as the engine sees it. */
	requestId: string
	/** Gateway connection that asked; its grants end with it. */
	owner: string
	model: string
	/** Empty for the base model itself. */
	adapter: string
	parts: readonly PromptPart[]
	promptTokens: number
	outputTokens: number
	/** 0 is the most urgent. */
	priority: number
	/** Time after which an answer is late. */
	objectiveAt: number
	/** Time after which a first event is of no use to the caller. */
	startBy: number
	/** Time at which the caller gives up. */
	deadline: number
}

export enum RefusalReason {
	/** The expected wait is longer than the request can afford. */
	Overloaded = "overloaded",
	Deadline = "deadline",
	/** The engine is down, or has nothing loaded and can't be ordered. */
	Unavailable = "unavailable"
}

export enum GrantActionKind {
	Grant = "grant",
	Refuse = "refuse"
}

export interface GrantAction {
	kind: GrantActionKind.Grant
	request: GrantRequest
	/** Version of the adapter that the engine holds; 0 when it has none. */
	version: number
	expectedMs: number
}

export interface RefuseAction {
	kind: GrantActionKind.Refuse
	request: GrantRequest
	reason: RefusalReason
	retryAfterMs: number
	expectedMs: number
}

export type GrantStep = GrantAction | RefuseAction

export enum OrderKind {
	Load = "load",
	Unload = "unload"
}

/** An order for the engine; valid only at the sequence it was planned for. */
export interface EngineOrder {
	kind: OrderKind
	model: string
	/** Empty for the base model. */
	adapter: string
	/** Version to load; 0 for the newest. */
	version: number
	/** Orders that the engine had accepted when this one was planned. */
	expectedSequence: number
}

export enum OrderOutcome {
	/** The engine carries it out. */
	Accepted = "accepted",
	/** What was ordered holds already. */
	Holds = "holds",
	/** Another order came first, or the sequence differs. */
	Conflict = "conflict",
	Refused = "refused",
	/** No answer: it may be carried out, now or later. */
	Lost = "lost"
}

export interface ResidentAdapter {
	adapter: string
	version: number
}

export interface ResidentModel {
	name: string
	adapters: readonly ResidentAdapter[]
}

/** What an engine says of itself. */
export interface EngineReport {
	/** Unix milliseconds of the engine's start; 0 when unknown. */
	bornAt: number
	sequence: number
	isBusy: boolean
	/** Requests that run, whoever sent them. */
	running: number
	/** Their request ids, where the engine tells them. */
	runIds: readonly string[] | undefined
	models: readonly ResidentModel[]
	/** Adapters on their way to the engine. */
	incoming: readonly {model: string; adapter: string; version: number}[]
	memoryTokens: number
}

/** What the configuration says of the engine. */
export interface EngineLimits {
	seats: number
	adapterSlots: number
	memoryTokens: number
	weightsMb: number
	models: readonly {
		name: string
		weightsMb: number
		adapterMb: number
		loadMs: number
	}[]
}
