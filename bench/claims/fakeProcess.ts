/** An endpoint process that can be paused, resumed and killed. */
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

/** What a process is allowed to notice, and when. */
export class ProcessGate {
	isKilled = false
	private isPaused = false
	private readonly onResume: (() => void)[] = []
	private readonly onKill: (() => void)[] = []

	constructor(private readonly clock: VirtualClock) {}

	get isRunning(): boolean {
		return !this.isKilled && !this.isPaused
	}

	pause(): void {
		this.isPaused = true
	}

	resume(): void {
		this.isPaused = false
		for (const callback of this.onResume.splice(0)) this.enter(callback)
	}

	kill(): void {
		this.isKilled = true
		this.onResume.length = 0
		for (const callback of this.onKill.splice(0)) callback()
	}

	/** Calls back when the process is killed, at once if it was. */
	whenKilled(callback: () => void): void {
		if (this.isKilled) callback()
		else this.onKill.push(callback)
	}

	/** Calls back when the process runs; never after it was killed. */
	enter(callback: () => void): void {
		if (this.isKilled) return
		if (this.isPaused) this.onResume.push(callback)
		else callback()
	}

	/** Hands a result to the process when it runs. */
	async pass<T>(promise: Promise<T>): Promise<T> {
		try {
			return await promise
		} finally {
			await new Promise<void>(resolve => {
				this.enter(resolve)
			})
		}
	}

	setTimer: SetTimer = (callback, at) =>
		this.clock.setTimer(() => {
			this.enter(callback)
		}, at)
}

/** The platform as one process reaches it. */
export class GatedPlatform extends Platform {
	constructor(
		private readonly platform: Platform,
		private readonly gate: ProcessGate
	) {
		super()
	}

	override read(
		kind: string,
		name: string
	): Promise<PlatformObject | undefined> {
		return this.gate.pass(this.platform.read(kind, name))
	}

	override list(kind: string, prefix?: string): Promise<PlatformListing> {
		return this.gate.pass(this.platform.list(kind, prefix))
	}

	override write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		return this.gate.pass(this.platform.write(kind, name, value, expected))
	}

	override remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		return this.gate.pass(this.platform.remove(kind, name, expected))
	}

	override watch(
		kind: string,
		revision: number,
		deadline: number
	): Promise<PlatformWatch> {
		return this.gate.pass(this.platform.watch(kind, revision, deadline))
	}

	override hosts(): Promise<HostRecord[]> {
		return this.gate.pass(this.platform.hosts())
	}
}
