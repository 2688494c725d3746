/**
 * Priority queue for calls to a plain service, as a queue class for p-queue.
 * The call with the lowest request class runs first; within a class, the one
 * with the earliest deadline.
 */
import PQueue, {type Queue, type QueueAddOptions} from "p-queue"

type Task = () => Promise<unknown>

export interface CallQueueOptions extends QueueAddOptions {
	/** Request class; calls of a lower class run first. */
	class: number
	/** In epoch milliseconds. */
	deadline: number
}

interface QueuedCall {
	run: Task
	class: number
	deadline: number
	id: string | undefined
}

class CallPriorityQueue implements Queue<Task, CallQueueOptions> {
	private readonly calls: QueuedCall[] = []

	get size(): number {
		return this.calls.length
	}

	enqueue(run: Task, options?: Partial<CallQueueOptions>): void {
		const call: QueuedCall = {
			run,
			class: options?.class ?? 0,
			deadline: options?.deadline ?? Infinity,
			id: options?.id
		}
		this.calls.splice(this.findInsertionIndex(call), 0, call)
	}

	dequeue(): Task | undefined {
		return this.calls.shift()?.run
	}

	filter(options: Partial<CallQueueOptions>): Task[] {
		const matching = this.calls.filter(
			call => options.class === undefined || call.class === options.class
		)
		return matching.map(call => call.run)
	}

	setPriority(id: string, priority: number): void {
		const index = this.calls.findIndex(call => call.id === id)
		const [call] = index < 0 ? [] : this.calls.splice(index, 1)
		if (call === undefined) return
		call.class = priority
		this.calls.splice(this.findInsertionIndex(call), 0, call)
	}

	remove(idOrRun: string | Task): void {
		const index = this.calls.findIndex(
			call => call.id === idOrRun || call.run === idOrRun
		)
		if (index >= 0) this.calls.splice(index, 1)
	}

	/** Index after all calls that run before `call`, by binary search. */
	private findInsertionIndex(call: QueuedCall): number {
		let low = 0
		let high = this.calls.length
		while (low < high) {
			const middle = (low + high) >>> 1
			const other = this.calls[middle]
			if (other !== undefined && runsBefore(call, other)) high = middle
			else low = middle + 1
		}
		return low
	}
}

function runsBefore(a: QueuedCall, b: QueuedCall): boolean {
	if (a.class !== b.class) return a.class < b.class
	return a.deadline < b.deadline
}

export type CallQueue = PQueue<CallPriorityQueue, CallQueueOptions>

/** Creates a queue that runs up to `concurrency` calls at a time. */
export function createCallQueue(concurrency: number): CallQueue {
	return new PQueue({concurrency, queueClass: CallPriorityQueue})
}
