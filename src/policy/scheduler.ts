/**
 * The interface of an engine scheduler: which request runs on which engine,
 * and which adapter is loaded or evicted, for the engines of one endpoint
 * process. Implementations are state machines without I/O.
 */
import type {
	AdapterName,
	Draft,
	LoadShare,
	Objective,
	RefusalReason
} from "./types.js"

export enum SchedulerEventKind {
	Arrived = "arrived",
	Cancelled = "cancelled",
	LoadEnded = "loadEnded",
	UnloadEnded = "unloadEnded",
	RunEnded = "runEnded",
	WorkerReset = "workerReset",
	WorkerUp = "workerUp",
	WorkerDown = "workerDown",
	ShareUpdated = "shareUpdated",
	Reconfigured = "reconfigured",
	Tick = "tick"
}

export type SchedulerEvent =
	| {kind: SchedulerEventKind.Arrived; draft: Draft}
	/** The caller went away, or the entry gave the request up. */
	| {kind: SchedulerEventKind.Cancelled; id: string}
	/** `Load` ended. When it fails, the evicted adapter is gone as well. */
	| {
			kind: SchedulerEventKind.LoadEnded
			worker: string
			adapter: AdapterName
			ok: boolean
			tookMs: number
			/** `load` of the action that ended, so that a late end is ignored. */
			load?: number
	  }
	/** A run ended in any way; its seat and its pin are free. */
	| {kind: SchedulerEventKind.RunEnded; worker: string; id: string}
	/** The engine restarted: its runs are gone, only `resident` is loaded. */
	| {
			kind: SchedulerEventKind.WorkerReset
			worker: string
			resident?: readonly AdapterName[]
	  }
	| {kind: SchedulerEventKind.WorkerDown; worker: string}
	/** `resident` is set when the engine was first seen, by what it holds. */
	| {
			kind: SchedulerEventKind.WorkerUp
			worker: string
			resident?: readonly AdapterName[]
	  }
	| {kind: SchedulerEventKind.ShareUpdated; share: LoadShare}
	/** A later configuration is in force. */
	| {kind: SchedulerEventKind.Reconfigured; tuning: SchedulerTuning}
	| {kind: SchedulerEventKind.Tick}

export enum SchedulerActionKind {
	Load = "load",
	Run = "run",
	Refuse = "refuse",
	Wake = "wake"
}

export type SchedulerAction =
	/** Unload `evict` (never pinned), then load `adapter`. */
	| {
			kind: SchedulerActionKind.Load
			worker: string
			adapter: AdapterName
			evict: AdapterName | undefined
			/** Number of the load, for its `LoadEnded`. */
			load?: number
	  }
	| {
			kind: SchedulerActionKind.Run
			worker: string
			id: string
			/** Time spent waiting for the adapter, in milliseconds. */
			loadStallMs: number
	  }
	| {
			kind: SchedulerActionKind.Refuse
			id: string
			reason: RefusalReason
			retryAfterMs: number
	  }
	/** Send a `Tick` no later than `at`. */
	| {kind: SchedulerActionKind.Wake; at: number}

/** What a later configuration may change. */
export interface SchedulerTuning {
	/** Adapter slots of each engine. */
	slots: number
	/** Requests that one engine runs at a time. */
	seats: number
	objective: Objective
	/** Relative share of a Member under contention; 1 when absent. */
	memberWeights: Readonly<Record<string, number>>
	/** Expected time to generate one token, for deadline estimates. */
	msPerToken: number
	/** Expected time to load one adapter. */
	loadMs: number
}

export interface SchedulerOptions {
	workers: readonly string[]
	/** Adapter slots of each engine. */
	slots: number
	/** Requests that one engine runs at a time. */
	seats: number
	objective: Objective
	share: LoadShare
	/** Expected time to generate one token, for deadline estimates. */
	msPerToken: number
	/** Expected time to load one adapter. */
	loadMs: number
	/** Requests held waiting before new ones are refused. */
	maxQueued: number
	/** Relative shares of Members under contention; 1 when absent. */
	memberWeights?: Readonly<Record<string, number>>
}

/** Counters that the task reports after each step. */
export interface SchedulerSnapshot {
	running: number
	queued: number
	resident: AdapterName[]
	loading: AdapterName[]
	/** Adapters wanted but neither loaded nor loading. */
	loadDemand: number
}

export abstract class Scheduler {
	abstract step(event: SchedulerEvent, now: number): SchedulerAction[]
	abstract snapshot(now: number): SchedulerSnapshot
}
