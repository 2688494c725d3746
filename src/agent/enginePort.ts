/** Interfaces through which the agent calls its engine and the platform. */
import {StepError} from "../contract/errors.js"
import type {
	EngineOrder,
	EngineReport,
	OrderOutcome
} from "../policy/grants/index.js"

/** No process listens at the engine's address. */
export class EngineGoneError extends StepError {}

/** Reads the state of the engine on the agent's host and sends it orders. */
export abstract class EnginePort {
	/**
	 * Id that the engine states for itself; empty until known. A restarted engine may
	 * state the same id; `EngineReport.bornAt` shows the restart.
	 */
	abstract get engineId(): string

	/**
	 * Requests a report; rejects when the engine does not respond, with
	 * `EngineGoneError` if it is certain that its process has ended.
	 */
	abstract report(): Promise<EngineReport>

	/**
	 * Sends an order that bears a fencing token. Never rejects: a missing response is
	 * the outcome `Unanswered`.
	 */
	abstract order(
		order: EngineOrder,
		fencingToken: number
	): Promise<OrderOutcome>

	/** Requests the engine's id again, as after its restart. */
	abstract identify(): Promise<void>
}

/**
 * Issues fencing tokens. Each is higher than all before it, so that the engine
 * refuses the orders of an agent that has been replaced.
 */
export abstract class FencingTokenSource {
	/** Rejects when the platform does not respond. */
	abstract acquire(): Promise<number>
}
