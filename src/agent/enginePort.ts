/** What the agent needs of its engine and of the platform. */
import type {
	EngineOrder,
	EngineReport,
	OrderOutcome
} from "../policy/grants/index.js"

export abstract class EnginePort {
	/** Identifier of the engine's current life; empty until known. */
	abstract get engineId(): string

	/** Rejects when the engine doesn't answer. */
	abstract report(): Promise<EngineReport>

	/** Never rejects: the outcome says what is known. */
	abstract order(order: EngineOrder, fence: number): Promise<OrderOutcome>

	/** Asks again who the engine is, as after a restart. */
	abstract identify(): Promise<void>
}

/** Source of the number that fences this agent's orders. */
export abstract class FenceSource {
	/** Rejects when the platform can't be asked. */
	abstract acquire(): Promise<number>
}
