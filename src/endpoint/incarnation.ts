/**
 * Acquires the incarnation of this endpoint process, which is its fencing
 * number. Reads and writes the stored incarnation on the platform as the
 * `IncarnationAllocator` state machine decides, and runs its timer.
 */
import {ulid} from "ulid"
import type {Platform} from "../link/platform.js"
import {
	type FencingAction,
	FencingActionType,
	type FencingEvent,
	FencingEventType,
	IncarnationAllocator,
	incarnationKind,
	type StoredIncarnation
} from "../policy/fencing.js"
import type {Log} from "../program/log.js"
import {assertNever} from "../utils/common.js"

export interface IncarnationTaskOptions {
	platform: Platform
	/**
	 * Link address that this process has bound, so that no other process on the
	 * host can use it. The stored incarnation is named by it.
	 */
	address: string
	/** Highest fencing numbers that the endpoints have seen so far. */
	used: readonly number[]
	log: Log
	/** Called when another process has stored the same or a higher number. */
	onSuperseded: (observed: number) => void
	/** How long to wait for the platform before choosing a number without it. */
	platformWaitMs?: number
}

const defaultPlatformWaitMs = 3000

export class IncarnationTask {
	private readonly options: IncarnationTaskOptions
	private readonly taker: IncarnationAllocator
	private timer: NodeJS.Timeout | undefined
	private isClosed = false
	private resolveIncarnation: ((incarnation: number) => void) | undefined

	constructor(options: IncarnationTaskOptions) {
		this.options = options
		const {platformWaitMs = defaultPlatformWaitMs} = options
		this.taker = new IncarnationAllocator({
			processId: ulid(),
			random: Math.random(),
			startDeadline: Date.now() + platformWaitMs
		})
	}

	/**
	 * Resolves with the number. If the platform was unavailable, the number is
	 * recorded there later.
	 */
	acquire(): Promise<number> {
		return new Promise(resolve => {
			this.resolveIncarnation = resolve
			const {used} = this.options
			this.step({type: FencingEventType.Start, used})
		})
	}

	close(): void {
		this.isClosed = true
		clearTimeout(this.timer)
	}

	private step(event: FencingEvent): void {
		if (this.isClosed) return
		for (const action of this.taker.step(event, Date.now())) {
			void this.execute(action)
		}
		this.scheduleTick()
	}

	private async execute(action: FencingAction): Promise<void> {
		switch (action.type) {
			case FencingActionType.ReadStored:
				return this.readStored()
			case FencingActionType.WriteStored:
				return this.writeStored(action.value, action.expected)
			case FencingActionType.Use:
				if (!action.isRecorded) {
					const {incarnation} = action
					this.options.log.warn(
						"incarnation chosen without the platform; will be recorded later",
						{incarnation}
					)
				}
				this.resolveIncarnation?.(action.incarnation)
				return
			case FencingActionType.Stop:
				this.options.onSuperseded(action.observed)
				return
			default:
				assertNever(action)
		}
	}

	private async readStored(): Promise<void> {
		const {platform, address} = this.options
		try {
			const object = await platform.read(incarnationKind, address)
			this.step({
				type: FencingEventType.Read,
				stored: object?.value as StoredIncarnation | undefined,
				version: object?.version ?? 0
			})
		} catch {
			this.step({type: FencingEventType.ReadFailed})
		}
	}

	private async writeStored(
		value: StoredIncarnation,
		expected: number
	): Promise<void> {
		const {platform, address} = this.options
		const {outcome, version} = await platform.write(
			incarnationKind,
			address,
			value,
			expected
		)
		this.step({type: FencingEventType.WriteEnded, outcome, version})
	}

	private scheduleTick(): void {
		clearTimeout(this.timer)
		const at = this.taker.nextTickAt()
		if (!Number.isFinite(at)) return
		const waitMs = Math.max(1, at - Date.now())
		this.timer = setTimeout(() => {
			this.step({type: FencingEventType.Tick})
		}, waitMs)
	}
}
