/**
 * What the handlers of callers' requests share: who sends, which route, and the
 * request as endpoint processes take it.
 */
import {create} from "@bufbuild/protobuf"
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Route} from "../contract/config/index.js"
import {
	NotRunReason,
	RequestClass as LinkClass,
	type RunRequest,
	RunRequestSchema
} from "../contract/gen/link_pb.js"
import {RequestClass, type RetryBudget, type Router} from "../policy/index.js"
import type {Counters} from "../program/counters.js"
import type {ConfigStore} from "../spread/index.js"
import type {BurnTask} from "./burnTask.js"
import type {Fleet} from "./fleet.js"
import {identifyMember} from "./identity.js"
import {notRunOutcome, sendFailure} from "./outcome.js"
import type {Envelope} from "./parseRequest.js"
import {RouteTable} from "./routeTable.js"

export interface RequestHandlerOptions {
	entryId: string
	failureDomain: string
	memberSecret: string
	store: ConfigStore
	fleet: Fleet
	router: Router
	budget: () => RetryBudget
	counters: Counters
	burn: BurnTask
}

const notReadyRetryMs = 1000

const linkClasses: Record<RequestClass, LinkClass> = {
	[RequestClass.Status]: LinkClass.STATUS,
	[RequestClass.Booking]: LinkClass.BOOKING,
	[RequestClass.Interactive]: LinkClass.INTERACTIVE,
	[RequestClass.Deferrable]: LinkClass.DEFERRABLE
}

export abstract class CallerHandler {
	protected readonly options: RequestHandlerOptions
	private table: RouteTable | undefined

	constructor(options: RequestHandlerOptions) {
		this.options = options
		options.store.onInstall(({settings}) => {
			this.table = new RouteTable(settings)
		})
	}

	protected get routes(): RouteTable {
		if (this.table !== undefined) return this.table
		throw new TypeError("the route table is used before a configuration")
	}

	protected identify(req: IncomingMessage): string {
		return identifyMember(req.headers, this.options.memberSecret)
	}

	protected refuseUnready(res: ServerResponse, requestId: string): boolean {
		if (this.table !== undefined) return false
		const detail = "this entry holds no configuration yet"
		const {NOT_CONFIGURED} = NotRunReason
		const outcome = notRunOutcome(NOT_CONFIGURED, detail, notReadyRetryMs)
		sendFailure(res, outcome, requestId)
		return true
	}

	protected createRequest(route: Route, envelope: Envelope): RunRequest {
		return create(RunRequestSchema, {
			requestId: envelope.requestId,
			member: envelope.member,
			route: route.name,
			class: linkClasses[route.class],
			deadlineMs: envelope.deadline,
			generation: this.options.store.generation,
			idempotent: route.idempotent,
			entryId: this.options.entryId
		})
	}
}

/** Aborted when the caller's connection closes before the answer is sent. */
export function signalOfClose(res: ServerResponse): AbortSignal {
	const controller = new AbortController()
	res.on("close", () => {
		if (!res.writableEnded) controller.abort()
	})
	return controller.signal
}
