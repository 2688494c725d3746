/**
 * Chooses the order of an engine's queue: `FairOrder` from the first request that
 * carries a Member, `ObjectiveOrder` where none does. The choice goes back once no
 * such request arrived for `fairMemoryMs` and the queue is empty, as after the
 * Members were removed from the configuration.
 */
import {FairOrder} from "./fairOrder.js"
import type {FirstEventEstimate} from "./firstEventEstimate.js"
import type {ActiveGrant} from "./grantTable.js"
import {ObjectiveOrder} from "./objectiveOrder.js"
import type {QueueContext, QueueOrder} from "./queueOrder.js"
import type {GrantRequest} from "./types.js"

const fairMemoryMs = 60_000

export class OrderSwitch {
	private readonly objectiveOrder: ObjectiveOrder
	private readonly fairOrder: FairOrder
	/** The order in force. */
	current: QueueOrder
	private memberSeenAt = Number.NEGATIVE_INFINITY

	constructor(
		private readonly context: QueueContext,
		estimate: FirstEventEstimate
	) {
		this.objectiveOrder = new ObjectiveOrder(context, estimate)
		this.fairOrder = new FairOrder(context)
		this.current = this.objectiveOrder
	}

	/** Called with each request that arrives, before it is admitted. */
	choose({member = ""}: GrantRequest, now: number): void {
		if (member !== "") {
			this.memberSeenAt = now
			this.current = this.fairOrder
			return
		}
		const isOutdated = now > this.memberSeenAt + fairMemoryMs
		if (isOutdated && this.context.waiting.size === 0)
			this.current = this.objectiveOrder
	}

	/** The order may have changed since the grant. */
	removeGrant(grant: ActiveGrant, now: number): void {
		this.fairOrder.removeGrant(grant, now)
	}

	resetEngine(): void {
		this.fairOrder.resetEngine()
	}
}
