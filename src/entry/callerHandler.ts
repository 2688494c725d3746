/**
 * Base class of the handlers of callers' requests. Identifies the Member,
 * keeps the route table of the installed configuration, and creates the request
 * message for the endpoint process.
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

const unconfiguredRetryMs = 1000

const linkClasses: Record<RequestClass, LinkClass> = {
	[RequestClass.Status]: LinkClass.STATUS,
	[RequestClass.Booking]: LinkClass.BOOKING,
	[RequestClass.Interactive]: LinkClass.INTERACTIVE,
	[RequestClass.Deferrable]: LinkClass.DEFERRABLE
}

export abstract class CallerHandler {
	protected readonly options: RequestHandlerOptions
	private routeTable: RouteTable | undefined

	constructor(options: RequestHandlerOptions) {
		this.options = options
		options.store.onInstall(({settings}) => {
			this.routeTable = new RouteTable(settings)
		})
	}

	protected get routes(): RouteTable {
		if (this.routeTable !== undefined) return this.routeTable
		throw new TypeError("no route table: no configuration is installed yet")
	}

	protected identifyCaller(req: IncomingMessage): string {
		return identifyMember(req.headers, this.options.memberSecret)
	}

	/** Answers 503 and returns true while no configuration is installed. */
	protected refuseIfUnconfigured(
		res: ServerResponse,
		requestId: string
	): boolean {
		if (this.routeTable !== undefined) return false
		const detail = "this entry holds no configuration yet"
		const {NOT_CONFIGURED} = NotRunReason
		const outcome = notRunOutcome(NOT_CONFIGURED, detail, unconfiguredRetryMs)
		sendFailure(res, outcome, requestId)
		return true
	}

	protected createRunRequest(route: Route, envelope: Envelope): RunRequest {
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

/** Creates a signal that aborts if the connection closes before the answer. */
export function createCloseSignal(res: ServerResponse): AbortSignal {
	const controller = new AbortController()
	res.on("close", () => {
		if (!res.writableEnded) controller.abort()
	})
	return controller.signal
}
