/**
 * Logs that the memory of this process nears a limit, above which it is killed or
 * aborts without a line of its own.
 */
import {getHeapStatistics} from "node:v8"
import {getStandardOutput} from "./logOutput.js"
import type {LogEvent} from "./processLife.js"

export interface MemoryWatchOptions {
	log: LogEvent
	/** Memory above which the platform kills the process, if it stated that. */
	maxRssBytes?: number | undefined
	/** What the process counts as held for others. */
	getBufferedBytes?: (() => number) | undefined
	read?: () => MemoryUse
	now?: () => number
}

export interface MemoryUse {
	rssBytes: number
	heapBytes: number
	heapLimitBytes: number
	externalBytes: number
}

const highShare = 0.85
/** Below it, memory is no longer high. */
const normalShare = 0.75
const intervalMs = 250
/** Bounds the lines of a process whose memory goes up and down. */
const minGapMs = 5000

export class MemoryWatch {
	private readonly now: () => number
	private readonly read: () => MemoryUse
	private timer: NodeJS.Timeout | undefined
	private isHigh = false
	private quietUntil = Number.NEGATIVE_INFINITY

	constructor(private readonly options: MemoryWatchOptions) {
		this.now = options.now ?? (() => performance.now())
		this.read = options.read ?? readMemoryUse
	}

	start(): void {
		this.timer = setInterval(() => {
			this.tick()
		}, intervalMs).unref()
	}

	stop(): void {
		clearInterval(this.timer)
	}

	/** Logs a crossing, once. */
	tick(): void {
		const use = this.read()
		const share = this.getShare(use)
		if (share >= highShare && !this.isHigh) {
			if (this.now() < this.quietUntil) return
			this.quietUntil = this.now() + minGapMs
			this.isHigh = true
			this.log("memory.high", use)
		} else if (share < normalShare && this.isHigh) {
			this.isHigh = false
			this.log("memory.normal", use)
		}
	}

	/** The part of the nearer limit that is used. */
	private getShare({rssBytes, heapBytes, heapLimitBytes}: MemoryUse): number {
		const {maxRssBytes = Number.POSITIVE_INFINITY} = this.options
		return Math.max(rssBytes / maxRssBytes, heapBytes / heapLimitBytes)
	}

	private log(event: string, use: MemoryUse): void {
		const {log, maxRssBytes, getBufferedBytes} = this.options
		log(event, {
			...use,
			maxRssBytes,
			bufferedBytes: getBufferedBytes?.(),
			unreadLogBytes: getStandardOutput().waitingBytes
		})
	}
}

function readMemoryUse(): MemoryUse {
	const {rss, external} = process.memoryUsage()
	const {used_heap_size, heap_size_limit} = getHeapStatistics()
	return {
		rssBytes: rss,
		heapBytes: used_heap_size,
		heapLimitBytes: heap_size_limit,
		externalBytes: external
	}
}
