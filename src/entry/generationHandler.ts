/** Handles callers' requests for new generations and for resuming streams. */
import type {IncomingMessage, ServerResponse} from "node:http"
import murmurhash from "murmurhash"
import type {Route} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"
import {NotRunReason, type RunRequest} from "../contract/gen/link_pb.js"
import {engineAdapterName} from "../contract/names.js"
import {CallerHandler, createCloseSignal} from "./callerHandler.js"
import {
	BufferedWriter,
	streamIdSeparator,
	StreamWriter
} from "./completionWriter.js"
import {GenerationCall} from "./generationCall.js"
import {notRunOutcome, sendFailure} from "./outcome.js"
import {
	checkRouteRules,
	type CompletionBody,
	type Envelope,
	parseChat,
	parseCompletion,
	parseEnvelope,
	parseOffset,
	readBody
} from "./parseRequest.js"

/** A parsed and checked request for a generation. */
interface PreparedGeneration {
	route: Route
	runReq: RunRequest
	body: CompletionBody
	res: ServerResponse
	arrivedAt: number
	/** Host that has the stream to resume; undefined for a new generation. */
	hostId?: string
}

const notFound = 404
const hashedPrefixChars = 64

export class GenerationHandler extends CallerHandler {
	async handleCompletion(
		req: IncomingMessage,
		res: ServerResponse,
		isChat: boolean
	): Promise<void> {
		const arrivedAt = Date.now()
		const member = this.identifyCaller(req)
		const envelope = parseEnvelope(req.headers, member, arrivedAt)
		const bytes = await readBody(req)
		const body = isChat ? parseChat(bytes) : parseCompletion(bytes)
		if (this.refuseIfUnconfigured(res, envelope.requestId)) return
		const route = this.routes.findGeneration(envelope.routeName)
		checkRouteRules(route, envelope, arrivedAt)
		const runReq = this.createGeneration(route, envelope, body)
		await this.runGeneration({route, runReq, body, res, arrivedAt})
	}

	/** Resumes a stream that was started on another connection or entry. */
	async handleResume(
		req: IncomingMessage,
		res: ServerResponse,
		streamId: string,
		offsetText: unknown
	): Promise<void> {
		const now = Date.now()
		const member = this.identifyCaller(req)
		const envelope = parseEnvelope(req.headers, member, now)
		const offset = parseOffset(offsetText)
		const [hostId = "", requestId = ""] = streamId.split(streamIdSeparator)
		const link = this.options.fleet.getLink(hostId)
		const model = req.headers["x-model"]
		if (typeof model !== "string") {
			throw new BadRequestError("x-model", "expected base:adapter@version")
		}
		if (link === undefined) {
			const detail = `host ${hostId} of this stream is not known here`
			const outcome = notRunOutcome(NotRunReason.UNREACHABLE, detail)
			sendFailure(res, outcome, requestId)
			return
		}
		if (this.refuseIfUnconfigured(res, envelope.requestId)) return
		const route = this.routes.findGeneration(envelope.routeName)
		// The stream is found by its request id; prompt and maxTokens are not used.
		const body: CompletionBody = {
			model,
			prompt: "",
			maxTokens: 1,
			isStream: true,
			isChat: false
		}
		const runReq = this.createGeneration(route, envelope, body)
		runReq.requestId = requestId
		runReq.resume = true
		runReq.resumeOffset = offset
		await this.runGeneration({
			route: {...route, maxAttempts: 1},
			runReq,
			body,
			res,
			arrivedAt: now,
			hostId
		})
	}

	private createGeneration(
		route: Route,
		envelope: Envelope,
		body: CompletionBody
	): RunRequest {
		const resolved = this.options.store.findAdapter(body.model)
		if (resolved === undefined) {
			const reason = `adapter ${JSON.stringify(body.model)} is not configured`
			throw new BadRequestError("model", reason, notFound)
		}
		const req = this.createRunRequest(route, envelope)
		req.adapter = body.model
		req.adapterSource = resolved.source
		req.prompt = body.prompt
		req.maxTokens = body.maxTokens
		return req
	}

	private async runGeneration({
		route,
		runReq,
		body,
		res,
		arrivedAt,
		hostId
	}: PreparedGeneration): Promise<void> {
		const {fleet, router, counters, failureDomain} = this.options
		const budget = this.options.budget()
		const {requestId} = runReq
		const {model, isChat} = body
		const writerOptions = {res, requestId, model, isChat}
		const writer = body.isStream
			? new StreamWriter(writerOptions)
			: new BufferedWriter(writerOptions)
		const adapter = engineAdapterName(model, runReq.adapterSource)
		const generation = new GenerationCall({
			route,
			req: runReq,
			adapter,
			query: {
				adapter,
				class: route.class,
				member: runReq.member,
				deadline: runReq.deadlineMs,
				prefixHash: murmurhash.v3(runReq.prompt.slice(0, hashedPrefixChars)),
				failureDomain
			},
			fleet,
			router,
			budget,
			counters,
			sink: writer,
			signal: createCloseSignal(res),
			...(hostId === undefined ? {} : {hostId})
		})
		counters.add("requests.generation")
		const failed = await generation.run()
		if (failed !== undefined) writer.fail(failed)
		this.options.burn.record({
			route: route.name,
			member: runReq.member,
			arrivedAt,
			failed,
			loadStallMs: writer.loadStallMs
		})
	}
}
