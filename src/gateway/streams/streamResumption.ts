/** Decides where the stream that a caller resumes may go on, or that it may not. */
import type {StreamBinding, StreamOrigin} from "../../policy/streams/index.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import type {Resumption} from "../wire.js"

export interface StreamResumptionOptions {
	ctx: GatewayContext
	request: RoutedRequest
	resumption: Resumption
	/** Is bound to the build that began the stream, if that is known. */
	binding: StreamBinding
	onPermitted: () => void
	/** The stream can't go on, and nothing was sent. */
	onRefused: (reason: string) => void
}

const unknownOrigin = "unknown origin of the stream"

/** How long after its begin the stream of a request may be resumed. */
export function getStreamSpanMs({route, exchange}: RoutedRequest): number {
	return Math.max(route.timeoutMs, exchange.head.patienceMs ?? 0)
}

export function locateStream(options: StreamResumptionOptions): void {
	const {ctx, resumption} = options
	const {originId} = resumption
	const askedAt = ctx.now()
	const decide = (origin: StreamOrigin | undefined): void => {
		ctx.log.request("stream.origin", options.request.exchange.head.id, {
			resumes: originId,
			pool: origin?.pool,
			build: origin?.build,
			waitedMs: Math.round(ctx.now() - askedAt)
		})
		const finish = (reason: string | undefined): void => {
			if (reason === undefined) options.onPermitted()
			else options.onRefused(reason)
		}
		if (origin === undefined) bindUnknown(options, finish)
		else finish(bind(options, origin))
	}
	if (originId === "") decide(undefined)
	else ctx.streams.find(originId, decide)
}

/**
 * Binds a request of unknown origin to the only build that can have begun its
 * stream. Calls back with why the stream can't go on if there may have been another.
 */
function bindUnknown(
	{ctx, request, binding}: StreamResumptionOptions,
	onDone: (reason: string | undefined) => void
): void {
	const spanMs = getStreamSpanMs(request)
	const findBuild = (): string | undefined =>
		ctx.streams.findSettled(request.pool, spanMs)
	if (findBuild() === undefined) {
		onDone(unknownOrigin)
		return
	}
	ctx.streams.checkView(isCurrent => {
		const build = isCurrent ? findBuild() : undefined
		if (build !== undefined) binding.bind(build)
		onDone(build === undefined ? unknownOrigin : undefined)
	})
}

/**
 * Binds the request to the pool and the build of the origin. Returns why the stream
 * can't go on there.
 */
function bind(
	{ctx, request, binding}: StreamResumptionOptions,
	{pool, build}: StreamOrigin
): string | undefined {
	const isServed = request.route.pools.some(share => share.pool === pool)
	if (!isServed) return "the stream's service no longer serves the route"
	request.pool = pool
	binding.bind(build)
	const isReady = ctx.fleet.listReady(pool).some(ready => ready.build === build)
	return isReady ? undefined : "no engine of the stream's build"
}
