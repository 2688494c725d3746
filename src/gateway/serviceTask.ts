/** Forwards one request to a plain service, and repeats it where that is safe. */
import {type FleetEndpoint, RouteKind} from "../contract/fleet.js"
import {CallEnd, EndpointCall} from "./endpointCall.js"
import {RequestTask} from "./requestTask.js"
import {type AnswerHead, isServerFailure} from "./wire.js"

/** Endpoints that shed are asked in turn at most this often for one request. */
const maxSends = 3
const minRetryAfterMs = 100
/** A safe request tries another endpoint once this many times its share of
 * the objective has passed without an answer. */
const hedgeObjectives = 2

export class ServiceTask extends RequestTask {
	private readonly tried = new Set<string>()
	private call: EndpointCall | undefined
	private stallTimer: NodeJS.Timeout | undefined
	/** A failure that an endpoint answered, kept while another one is tried. */
	private failure: {answer: AnswerHead; body: Buffer} | undefined

	protected override begin(): void {
		this.sendNext("no endpoint")
	}

	protected override leave(): void {
		// A call with effects that has begun is better finished than cut.
		if (this.request.route.kind === RouteKind.Safe) this.stop()
	}

	private sendNext(reason: string): void {
		const {ctx, request} = this
		const endpoint = this.pick()
		if (endpoint === undefined) {
			this.giveUp(reason)
			return
		}
		if (this.sends > 0 && !ctx.repeats.tryRepeat(request.pool)) {
			this.giveUp(`${reason}; no repeats left`)
			return
		}
		this.send(endpoint)
	}

	private pick(): FleetEndpoint | undefined {
		const {ctx, request} = this
		if (this.sends >= maxSends) return undefined
		const ready = ctx.fleet.listReady(request.pool)
		const candidates = ready.map(({id, seats, failureDomain}) => ({
			id,
			seats,
			isNear: failureDomain === ctx.failureDomain
		}))
		const now = ctx.now()
		const id = ctx.services.choose(candidates, this.tried, now, ctx.random)
		return id === undefined ? undefined : ctx.fleet.getEndpoint(id)
	}

	private send(endpoint: FleetEndpoint): void {
		const {ctx, request} = this
		const {exchange, body} = request
		const {id} = endpoint
		this.tried.add(id)
		this.sends += 1
		ctx.services.begin(id)
		const sentAt = ctx.now()
		const chunks: Buffer[] = []
		const call: EndpointCall = new EndpointCall({
			address: endpoint.address,
			wire: ctx.wire,
			head: exchange.head,
			headers: ctx.wire.encodeRequest(exchange.head, {
				endpointId: id,
				leftMs: request.deadline - sentAt,
				bodyBytes: body.length
			}),
			body,
			handlers: {
				onData: chunk => {
					chunks.push(chunk)
				},
				onEnd: (end, detail) => {
					if (this.call === call) this.call = undefined
					clearTimeout(this.stallTimer)
					ctx.metrics.countSend(request.pool, end)
					const answer = call.head
					this.learn(id, end, answer, sentAt)
					this.handleEnd(id, end, detail, answer, Buffer.concat(chunks))
				}
			}
		})
		this.call = call
		this.watchStall(call)
	}

	/** Gives a safe request that hangs at one endpoint to another. */
	private watchStall(call: EndpointCall): void {
		const {route, deadline} = this.request
		clearTimeout(this.stallTimer)
		if (route.kind !== RouteKind.Safe) return
		if (this.runs + 1 >= route.maxAttempts) return
		const stallMs = route.objectiveMs * hedgeObjectives
		if (this.ctx.now() + stallMs >= deadline) return
		this.stallTimer = setTimeout(() => {
			if (this.call === call && call.head === undefined) call.abort()
		}, stallMs)
	}

	private learn(
		id: string,
		end: CallEnd,
		answer: AnswerHead | undefined,
		sentAt: number
	): void {
		const {services, now} = this.ctx
		const at = now()
		if (answer?.load !== undefined) {
			services.addLoad(id, answer.load.running + answer.load.waiting, at)
		}
		if (answer?.isMisdirected === true) this.ctx.fleet.markMisplaced(id)
		if (end === CallEnd.Aborted && !this.request.exchange.isOpen) {
			services.release(id)
		} else if (end === CallEnd.Complete) {
			const isFailure = answer !== undefined && isServerFailure(answer)
			if (isFailure) services.fail(id, at, failedAnswerWeight)
			else services.succeed(id, at - sentAt, at)
		} else services.fail(id, at)
	}

	private handleEnd(
		id: string,
		end: CallEnd,
		detail: string,
		answer: AnswerHead | undefined,
		body: Buffer
	): void {
		const {ctx, request} = this
		const {exchange, route} = request
		if (this.isOver || !exchange.isOpen) return
		if (end === CallEnd.NeverSent || end === CallEnd.NotRun) {
			ctx.log.request("send.notRun", exchange.head.id, {endpoint: id, detail})
			this.sendNext(detail)
			return
		}
		this.runs += 1
		this.mayHaveRun = true
		const isRepeatable =
			route.kind === RouteKind.Safe && this.runs < route.maxAttempts
		if (end === CallEnd.Complete && answer !== undefined) {
			const isFailure = isServerFailure(answer)
			if (!isFailure || !isRepeatable) {
				this.clear()
				exchange.deliver(answer, body, {endpoint: id, sends: this.sends})
				return
			}
			this.failure = {answer, body}
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end,
			detail,
			status: answer?.status
		})
		if (isRepeatable) this.sendNext(detail)
		else this.giveUp(detail)
	}

	/** Answers at once with what is known. */
	private giveUp(reason: string): void {
		this.clear()
		const {exchange, route} = this.request
		const inputs = {sends: this.sends, tried: [...this.tried]}
		if (this.failure !== undefined) {
			exchange.deliver(this.failure.answer, this.failure.body, inputs)
		} else if (this.mayHaveRun) exchange.failUnknown(reason, inputs)
		else {
			const spread = 1 + this.ctx.random()
			const retryAfterMs = Math.max(minRetryAfterMs, route.objectiveMs) * spread
			exchange.refuse(reason, retryAfterMs, inputs)
		}
	}

	protected override timeOut(): void {
		const {exchange} = this.request
		const wasSent = this.mayHaveRun || (this.call?.wasSent ?? false)
		this.stop()
		const inputs = {sends: this.sends, tried: [...this.tried]}
		if (this.failure !== undefined) {
			exchange.deliver(this.failure.answer, this.failure.body, inputs)
		} else if (wasSent) exchange.failUnknown("deadline", inputs, true)
		else exchange.refuse("deadline", minRetryAfterMs, inputs)
	}

	protected override stop(): void {
		super.stop()
		this.call?.abort()
	}

	protected override clear(): void {
		super.clear()
		clearTimeout(this.stallTimer)
	}
}

/** An endpoint that answers a failure is slower to lose trust than a dead one. */
const failedAnswerWeight = 0.25
