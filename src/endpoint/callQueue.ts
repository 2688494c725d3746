/**
 * Order of work for calls to a plain service: a p-queue queue class that puts
 * a lower request class first, then the earlier deadline.
 */
import PQueue, {type Queue, type QueueAddOptions} from "p-queue"

type Task = () => Promise<unknown>

/** What the queue needs to know of a call to place it. */
export interface CallQueueOptions extends QueueAddOptions {
	/** A lower class goes first. */
	class: number
	deadline: number
}

interface Entry {
	run: Task
	class: number
	deadline: number
	id: string | undefined
}

class CallOrder implements Queue<Task, CallQueueOptions> {
	private readonly entries: Entry[] = []

	get size(): number {
		return this.entries.length
	}

	enqueue(run: Task, options?: Partial<CallQueueOptions>): void {
		const entry: Entry = {
			run,
			class: options?.class ?? 0,
			deadline: options?.deadline ?? Infinity,
			id: options?.id
		}
		this.entries.splice(this.findPlace(entry), 0, entry)
	}

	dequeue(): Task | undefined {
		return this.entries.shift()?.run
	}

	filter(options: Partial<CallQueueOptions>): Task[] {
		const matching = this.entries.filter(
			entry => options.class === undefined || entry.class === options.class
		)
		return matching.map(entry => entry.run)
	}

	setPriority(id: string, priority: number): void {
		const index = this.entries.findIndex(entry => entry.id === id)
		const [entry] = index < 0 ? [] : this.entries.splice(index, 1)
		if (entry === undefined) return
		entry.class = priority
		this.entries.splice(this.findPlace(entry), 0, entry)
	}

	remove(idOrRun: string | Task): void {
		const index = this.entries.findIndex(
			entry => entry.id === idOrRun || entry.run === idOrRun
		)
		if (index >= 0) this.entries.splice(index, 1)
	}

	/** Index after every entry that goes first, by binary search. */
	private findPlace(entry: Entry): number {
		let low = 0
		let high = this.entries.length
		while (low < high) {
			const middle = (low + high) >>> 1
			const other = this.entries[middle]
			if (other !== undefined && goesFirst(entry, other)) high = middle
			else low = middle + 1
		}
		return low
	}
}

function goesFirst(a: Entry, b: Entry): boolean {
	if (a.class !== b.class) return a.class < b.class
	return a.deadline < b.deadline
}

export type CallQueue = PQueue<CallOrder, CallQueueOptions>

/** Creates a queue that runs `concurrency` calls at a time. */
export function createCallQueue(concurrency: number): CallQueue {
	return new PQueue({concurrency, queueClass: CallOrder})
}
