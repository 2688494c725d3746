/**
 * The interface of a scheduler for the engines of one endpoint process. It
 * decides which request runs on which engine, and which adapters are loaded and
 * evicted. Implementations are state machines without I/O: the caller passes
 * events in and executes the returned actions.
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
	/** Unused: no event has this kind. */
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
	/** The caller disconnected, or the entry cancelled the request. */
	| {kind: SchedulerEventKind.Cancelled; id: string}
	/** A `Load` ended. Its `evict` adapter is no longer loaded, even if the load
	 * failed. */
	| {
			kind: SchedulerEventKind.LoadEnded
			worker: string
			adapter: AdapterName
			ok: boolean
			tookMs: number
			/** `load` of the `Load` action; an end of an earlier load is ignored. */
			load?: number
	  }
	/** A run completed, failed or was cancelled; frees its seat and its pin. */
	| {kind: SchedulerEventKind.RunEnded; worker: string; id: string}
	/** The engine restarted: all runs were lost, and only `resident` is loaded. */
	| {
			kind: SchedulerEventKind.WorkerReset
			worker: string
			resident?: readonly AdapterName[]
	  }
	| {kind: SchedulerEventKind.WorkerDown; worker: string}
	/** The engine answers for the first time, or again. Of the adapters loaded on it
	 * (`resident`), the scheduler adopts those without a slot. */
	| {
			kind: SchedulerEventKind.WorkerUp
			worker: string
			resident?: readonly AdapterName[]
	  }
	| {kind: SchedulerEventKind.ShareUpdated; share: LoadShare}
	/** A newer configuration generation took effect. */
	| {kind: SchedulerEventKind.Reconfigured; tuning: SchedulerTuning}
	| {kind: SchedulerEventKind.Tick}

export enum SchedulerActionKind {
	Load = "load",
	Run = "run",
	Refuse = "refuse",
	Wake = "wake"
}

export type SchedulerAction =
	/** Unload `evict`, which is never pinned, then load `adapter`. */
	| {
			kind: SchedulerActionKind.Load
			worker: string
			adapter: AdapterName
			evict: AdapterName | undefined
			/** Sequence number of the load, to be echoed in its `LoadEnded`. */
			load?: number
	  }
	| {
			kind: SchedulerActionKind.Run
			worker: string
			id: string
			/** Time from the request's arrival until its adapter was resident; 0 if it
			 * already was. */
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

/** Settings that a newer configuration may change. */
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
	/** Queue length at which the scheduler starts to refuse requests. */
	maxQueued: number
	/** Relative shares of Members under contention; 1 when absent. */
	memberWeights?: Readonly<Record<string, number>>
}

/** Counters for reports and metrics. */
export interface SchedulerSnapshot {
	running: number
	queued: number
	resident: AdapterName[]
	loading: AdapterName[]
	/** Adapters that queued requests need and that are neither loaded nor loading. */
	loadDemand: number
}

export abstract class Scheduler {
	abstract step(event: SchedulerEvent, now: number): SchedulerAction[]
	abstract snapshot(now: number): SchedulerSnapshot
}
