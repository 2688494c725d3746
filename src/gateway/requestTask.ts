/** What the tasks of single requests share: the deadline and the counts. */
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"

export abstract class RequestTask {
	protected sends = 0
	protected runs = 0
	protected mayHaveRun = false
	protected isOver = false
	private readonly timer: NodeJS.Timeout

	constructor(
		protected readonly ctx: GatewayContext,
		protected readonly request: RoutedRequest
	) {
		const leftMs = request.deadline - ctx.now()
		this.timer = setTimeout(
			() => {
				this.timeOut()
			},
			Math.max(1, leftMs)
		)
		request.exchange.onLeave = () => {
			this.leave()
		}
	}

	start(): void {
		this.ctx.repeats.addRequest(this.request.pool)
		this.begin()
	}

	protected abstract begin(): void

	/** The deadline is over. */
	protected abstract timeOut(): void

	/** The caller left before its answer was complete. */
	protected abstract leave(): void

	/** Begins nothing more; what runs is the subclass's to end. */
	protected stop(): void {
		this.clear()
		this.isOver = true
	}

	protected clear(): void {
		clearTimeout(this.timer)
	}
}
