/** Simulates an endpoint process that can be paused, resumed and killed. */
import {
	type HostRecord,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	type WriteResult
} from "../../src/link/platform.js"
import type {SetTimer} from "../../src/endpoint/claims/index.js"
import type {VirtualClock} from "./virtualClock.js"

/** Delays its callbacks while it is paused and drops them once it is killed. */
export class SimulatedProcess {
	isKilled = false
	private isPaused = false
	private readonly resumeCallbacks: (() => void)[] = []
	private readonly killCallbacks: (() => void)[] = []

	constructor(private readonly clock: VirtualClock) {}

	get isRunning(): boolean {
		return !this.isKilled && !this.isPaused
	}

	pause(): void {
		this.isPaused = true
	}

	resume(): void {
		this.isPaused = false
		for (const callback of this.resumeCallbacks.splice(0))
			this.runWhenRunning(callback)
	}

	kill(): void {
		this.isKilled = true
		this.resumeCallbacks.length = 0
		for (const callback of this.killCallbacks.splice(0)) callback()
	}

	/** Calls back when the process is killed, at once if it is killed already. */
	onKill(callback: () => void): void {
		if (this.isKilled) callback()
		else this.killCallbacks.push(callback)
	}

	/** Calls back at once if running, on resume if paused, never once killed. */
	runWhenRunning(callback: () => void): void {
		if (this.isKilled) return
		if (this.isPaused) this.resumeCallbacks.push(callback)
		else callback()
	}

	/**
	 * Settles like `promise`, but only while the process runs; never once it is
	 * killed.
	 */
	async deliver<T>(promise: Promise<T>): Promise<T> {
		try {
			return await promise
		} finally {
			await new Promise<void>(resolve => {
				this.runWhenRunning(resolve)
			})
		}
	}

	setTimer: SetTimer = (callback, at) =>
		this.clock.setTimer(() => {
			this.runWhenRunning(callback)
		}, at)
}

/** A platform client whose results reach the process only while it runs. */
export class ProcessPlatform extends Platform {
	constructor(
		private readonly platform: Platform,
		private readonly process: SimulatedProcess
	) {
		super()
	}

	override read(
		kind: string,
		name: string
	): Promise<PlatformObject | undefined> {
		return this.process.deliver(this.platform.read(kind, name))
	}

	override list(kind: string, prefix?: string): Promise<PlatformListing> {
		return this.process.deliver(this.platform.list(kind, prefix))
	}

	override write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		return this.process.deliver(
			this.platform.write(kind, name, value, expected)
		)
	}

	override remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		return this.process.deliver(this.platform.remove(kind, name, expected))
	}

	override watch(
		kind: string,
		revision: number,
		deadline: number
	): Promise<PlatformWatch> {
		return this.process.deliver(this.platform.watch(kind, revision, deadline))
	}

	override hosts(): Promise<HostRecord[]> {
		return this.process.deliver(this.platform.hosts())
	}
}
