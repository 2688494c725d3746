/**
 * Base of the asks to what one agent decides for all gateways, the one that holds a
 * lease: finds that agent, follows one redirect, and passes over agents that don't
 * answer. Permits for plain endpoints and the tokens of quotas are its two uses.
 */
import {getSuspendedMs, type Moment} from "../../utils/index.js"
import type {AgentLink} from "./agentLink.js"
import type {AgentLinks} from "./agentLinks.js"

export interface LeaseAsksOptions {
	links: Pick<AgentLinks, "get" | "isLinked" | "rankLinked">
	/** Monotonic milliseconds. */
	now: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	random: () => number
}

export interface LeaseAnswer {
	key: string
	/** Engine whose agent holds the lease, if it is another one. */
	holderId: string
}

/** Who answered an ask, and when it was sent. */
export interface AskOrigin {
	agentId: string
	askedAt: Moment
}

export interface LeaseAskHandlers<Answer> {
	onAnswer(answer: Answer, origin: AskOrigin): void
	/** No agent could be asked, or it didn't answer in time. */
	onNone(): void
}

interface PendingAsk<Message, Answer> {
	/** Name of the lease. */
	name: string
	message: Message
	handlers: LeaseAskHandlers<Answer>
	/** Engine whose agent was asked. */
	agentId: string
	askedAt: Moment
	isRedirected: boolean
	timer: NodeJS.Timeout
}

/** Several times the time of a call to an agent in another failure domain. */
const answerTimeoutMs = 150
/** What was permitted is used no later than this after the ask. */
const answerGraceMs = 250
/** An agent that did not answer is passed over for this long, unless it answers late. */
const avoidMs = 2000
/** A caller for whom no agent could be asked returns after this, or up to twice it. */
const noAnswerRetryMs = 500

export abstract class LeaseAsks<
	Message extends {key: string},
	Answer extends LeaseAnswer
> {
	private readonly pending = new Map<string, PendingAsk<Message, Answer>>()
	/** Engine whose agent holds the lease, as far as is known. */
	private readonly holders = new Map<string, string>()
	/** Agents that did not answer, with the time until which they are passed over. */
	private readonly avoided = new Map<string, number>()
	private readonly wallNow: () => number

	constructor(private readonly asksOptions: LeaseAsksOptions) {
		this.wallNow = asksOptions.wallNow ?? Date.now
	}

	protected abstract send(link: AgentLink, message: Message): void

	/** Whether the agent that answered holds the lease. */
	protected abstract isFromHolder(answer: Answer): boolean

	/** The agent to ask while no holder is known, among those that can be used. */
	protected abstract pickFirst(
		name: string,
		isUsable: (agentId: string) => boolean
	): string | undefined

	/** Called with an answer that nobody waits for any more. */
	protected abstract handleLateAnswer(agentId: string, answer: Answer): void

	/** Applies the answer of the agent of `agentId`. */
	applyAnswer(agentId: string, answer: Answer): void {
		const {key, holderId} = answer
		this.avoided.delete(agentId)
		const ask = this.pending.get(key)
		if (ask?.agentId !== agentId) {
			this.handleLateAnswer(agentId, answer)
			return
		}
		if (this.isFromHolder(answer)) this.holders.set(ask.name, agentId)
		else if (holderId !== "") {
			this.holders.set(ask.name, holderId)
			if (this.redirect(ask, holderId)) return
		}
		this.take(key)
		ask.handlers.onAnswer(answer, {agentId, askedAt: ask.askedAt})
	}

	/**
	 * Calls one of the handlers later. Returns the function that cancels the ask.
	 */
	protected openAsk(
		name: string,
		message: Message,
		handlers: LeaseAskHandlers<Answer>
	): () => void {
		const {links} = this.asksOptions
		const agentId = this.pickAgent(name)
		const link = agentId === undefined ? undefined : links.get(agentId)
		if (agentId === undefined || link === undefined) {
			const timer = setTimeout(() => {
				handlers.onNone()
			}, 0)
			return () => {
				clearTimeout(timer)
			}
		}
		const {key} = message
		const timer = setTimeout(() => {
			this.handleTimeout(key)
		}, answerTimeoutMs)
		this.pending.set(key, {
			name,
			message,
			handlers,
			agentId,
			askedAt: this.getMoment(),
			isRedirected: false,
			timer
		})
		this.send(link, message)
		return () => {
			this.take(key)
		}
	}

	/** Whether the agent that holds the lease is known and connected. */
	protected isHolderKnown(name: string): boolean {
		const holder = this.holders.get(name)
		return holder !== undefined && this.isUsable(holder)
	}

	/**
	 * Whether this process was paused or suspended for so long that what was permitted
	 * for a time of `waitMs` after the ask must not be used.
	 */
	protected isTooLate(askedAt: Moment, waitMs: number): boolean {
		const now = this.getMoment()
		const elapsedMs = now.at - askedAt.at + getSuspendedMs(askedAt, now)
		return elapsedMs > waitMs + answerGraceMs
	}

	getMoment(): Moment {
		return {at: this.asksOptions.now(), wallAt: this.wallNow()}
	}

	getNoAnswerRetryMs(): number {
		return noAnswerRetryMs * (1 + this.asksOptions.random())
	}

	/** Asks the agent that holds the lease; returns false if that is not possible. */
	private redirect(
		ask: PendingAsk<Message, Answer>,
		holderId: string
	): boolean {
		const link = this.asksOptions.links.get(holderId)
		if (ask.isRedirected || holderId === ask.agentId || link === undefined)
			return false
		if (!this.isUsable(holderId)) return false
		ask.isRedirected = true
		ask.agentId = holderId
		this.send(link, ask.message)
		return true
	}

	private handleTimeout(key: string): void {
		const ask = this.take(key)
		if (ask === undefined) return
		const now = this.asksOptions.now()
		for (const [id, until] of this.avoided) {
			if (now >= until) this.avoided.delete(id)
		}
		this.avoided.set(ask.agentId, now + avoidMs)
		this.holders.delete(ask.name)
		ask.handlers.onNone()
	}

	/** The holder as far as it is known, else the first agent of the lease's order. */
	private pickAgent(name: string): string | undefined {
		const holder = this.holders.get(name)
		if (holder !== undefined && this.isUsable(holder)) return holder
		return this.pickFirst(name, id => this.isUsable(id))
	}

	private isUsable(agentId: string): boolean {
		const {links, now} = this.asksOptions
		const isAvoided = now() < (this.avoided.get(agentId) ?? 0)
		return !isAvoided && links.isLinked(agentId)
	}

	private take(key: string): PendingAsk<Message, Answer> | undefined {
		const ask = this.pending.get(key)
		this.pending.delete(key)
		clearTimeout(ask?.timer)
		return ask
	}
}
