/**
 * Tells agents what became of the amounts that they gave, a few at a time. What
 * can't be told counts as sent there.
 */
import {create} from "@bufbuild/protobuf"
import {
	type QuotaUse,
	QuotaUseSchema,
	type SentAmount,
	SentAmountSchema
} from "../../contract/gen/grants_pb.js"

export interface UseReportsOptions {
	send: (agentId: string, use: QuotaUse) => void
	/** Monotonic milliseconds. */
	now: () => number
}

interface Batch {
	sent: {key: string; at: number}[]
	returned: string[]
}

/** Far below the window, and below the time for which amounts are valid. */
const batchMs = 20
/** Amounts after which a batch is sent at once. */
const maxBatch = 200

export class UseReports {
	private readonly batches = new Map<string, Batch>()
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: UseReportsOptions) {}

	addSent(agentId: string, key: string): void {
		const {sent} = this.getBatch(agentId)
		sent.push({key, at: this.options.now()})
		this.schedule(sent.length)
	}

	addReturned(agentId: string, key: string): void {
		const {returned} = this.getBatch(agentId)
		returned.push(key)
		this.schedule(returned.length)
	}

	close(): void {
		this.flush()
	}

	private getBatch(agentId: string): Batch {
		let batch = this.batches.get(agentId)
		if (batch === undefined) {
			batch = {sent: [], returned: []}
			this.batches.set(agentId, batch)
		}
		return batch
	}

	private schedule(length: number): void {
		if (length >= maxBatch) {
			this.flush()
			return
		}
		this.timer ??= setTimeout(() => {
			this.flush()
		}, batchMs)
	}

	private flush(): void {
		clearTimeout(this.timer)
		this.timer = undefined
		const now = this.options.now()
		const batches = [...this.batches]
		this.batches.clear()
		for (const [agentId, {sent, returned}] of batches) {
			const amounts = sent.map(({key, at}) => createSent(key, now - at))
			const use = create(QuotaUseSchema, {sent: amounts, returned})
			this.options.send(agentId, use)
		}
	}
}

function createSent(key: string, elapsedMs: number): SentAmount {
	// Rounded down: an amount counts from no earlier than it was sent.
	return create(SentAmountSchema, {key, ageMs: Math.floor(elapsedMs)})
}
