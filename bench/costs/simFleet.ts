/**
 * Plays a load on engines in virtual time with one rule of choice. Gateways know of
 * engines what agents stated last; grants, refusals and states take their time.
 */
import {
	OutputForecast,
	type OutputPrediction
} from "../../src/policy/costs/index.js"
import {EngineChoice} from "../../src/policy/dispatch/index.js"
import {
	type GrantDecision,
	GrantDecisionKind,
	type GrantRequest
} from "../../src/policy/grants/index.js"
import {createRandom} from "../policy/random.js"
import {VirtualClock} from "../policy/virtualClock.js"
import {SimEngine} from "./simEngine.js"

export enum Rule {
	/** The rule without prediction. */
	Present = "present",
	LeastRequests = "least requests",
	Predicted = "predicted",
	/**
	 * Each choice sees all engines as they are at that moment. It is greedy, so that
	 * another rule may do better over a whole load.
	 */
	FullKnowledge = "full knowledge"
}

export interface SimRequest {
	at: number
	gateway: number
	adapter: string
	member: string
	promptTokens: number
	outputTokens: number
	lengthHint: number | undefined
	maxTokens: number
}

export interface FleetLoad {
	engines: readonly {
		domain: string
		speed: number
		getPace: (now: number) => number
	}[]
	/** Failure domain of each gateway. */
	gateways: readonly string[]
	requests: readonly SimRequest[]
}

export interface FleetResult {
	/** Share of the requests whose first event met the objective. */
	inTime: number
	refused: number
	storeLoads: number
	/** Requests that were served in another failure domain. */
	crossings: number
	/** Requests granted at each engine. */
	granted: number[]
	p95FirstEventMs: number
	/** Predicted and seen tokens of the answers, in the order of their ends. */
	predictions: {predicted: number; seen: number; isHinted: boolean}[]
}

export const objectiveMs = 1005
const startByMs = 2.5 * objectiveMs
const deadlineMs = 8000
const nearMs = 0.3
const remoteMs = 1.4
const maxAsks = 2
const loadPenaltyMs = 900

interface SimGateway {
	domain: string
	choice: EngineChoice
	forecast: OutputForecast
	/** Granted or asked requests of the gateway at each engine. */
	open: number[]
	/** Running requests that each agent stated last. */
	stated: number[]
	random: () => number
}

interface Flight {
	request: SimRequest
	gateway: SimGateway
	prediction: OutputPrediction | undefined
	tried: Set<number>
}

const route = "r"

export function playFleet(load: FleetLoad, rule: Rule, seed = 1): FleetResult {
	const clock = new VirtualClock()
	const random = createRandom(seed)
	const flights = new Map<string, Flight>()
	const firstEvents: number[] = []
	const result: FleetResult = {
		inTime: 0,
		refused: 0,
		storeLoads: 0,
		crossings: 0,
		granted: load.engines.map(() => 0),
		p95FirstEventMs: 0,
		predictions: []
	}
	const gateways = load.gateways.map((domain): SimGateway => ({
		domain,
		choice: new EngineChoice({random}),
		forecast: new OutputForecast(),
		open: load.engines.map(() => 0),
		stated: load.engines.map(() => 0),
		random
	}))
	const engines = load.engines.map(
		(options, index) =>
			new SimEngine({
				...options,
				id: `e${index}`,
				clock,
				random,
				onDecisions: decisions => {
					for (const decision of decisions) handle(index, decision)
				}
			})
	)
	const ids = engines.map(({options}) => options.id)

	function tellState(index: number, gateway: SimGateway): void {
		const {scheduler} = at(engines, index)
		const view = scheduler.getView(clock.now)
		const {slots} = scheduler
		const resident = slots.listResident()
		const recent = slots.listRecent()
		const delayMs = getDelayMs(index, gateway)
		clock.schedule(clock.now + delayMs, () => {
			gateway.stated[index] = view.running
			gateway.choice.applyView(at(ids, index), {
				isUsable: view.isUsable,
				waitMs: view.waitMs,
				tokensPerMs: view.tokensPerSecond / 1000,
				freeSlots: view.freeSlots,
				slotStepMs: view.slotStepMs,
				...(view.work === undefined || view.work.tokenMs === 0
					? {}
					: {
							work: {
								...view.work,
								running: view.running,
								lastingTokensPerMs: (view.lastingTokensPerSecond ?? 0) / 1000
							}
						})
			})
			gateway.choice.applyResidency(at(ids, index), resident, recent)
		})
	}

	function getDelayMs(index: number, {domain}: SimGateway): number {
		const isNear = at(engines, index).options.domain === domain
		return isNear ? nearMs : remoteMs
	}

	function choose(flight: Flight): number | undefined {
		const {gateway, request, tried, prediction} = flight
		const left = ids.map((_, index) => index).filter(index => !tried.has(index))
		if (rule === Rule.LeastRequests)
			return pickLeast(
				left,
				index =>
					Math.max(gateway.open[index] ?? 0, gateway.stated[index] ?? 0) +
					random() * 0.5
			)
		if (rule === Rule.FullKnowledge)
			return pickLeast(left, index => {
				const engine = at(engines, index)
				const key = `base/${request.adapter}`
				const {loadMs, isFromStore} = engine.getTrueLoadMs(key)
				const waiting = engine.scheduler.getView(clock.now)
				const waitMs = Math.max(
					engine.getTruePrefillMs(request.promptTokens),
					waiting.waitMs
				)
				const isNear = engine.options.domain === gateway.domain
				const slotMs =
					loadMs > 0 && waiting.freeSlots < 1
						? (1 - waiting.freeSlots) * waiting.slotStepMs
						: 0
				return (
					waitMs +
					loadMs +
					slotMs +
					(isFromStore ? loadPenaltyMs : 0) +
					(isNear ? 0 : 40)
				)
			})
		const query = createQuery(request, prediction)
		const candidates = left.map(index => ({
			id: at(ids, index),
			isNear: at(engines, index).options.domain === gateway.domain
		}))
		const best = gateway.choice.choose(query, candidates, clock.now)
		if (best === undefined) return undefined
		gateway.choice.addAsk(best.id, query, clock.now)
		return ids.indexOf(best.id)
	}

	function ask(key: string, flight: Flight): void {
		const index = flight.tried.size >= maxAsks ? undefined : choose(flight)
		if (index === undefined) {
			flights.delete(key)
			result.refused += 1
			return
		}
		const {request, gateway, prediction} = flight
		flight.tried.add(index)
		gateway.open[index] = (gateway.open[index] ?? 0) + 1
		clock.schedule(clock.now + getDelayMs(index, gateway), () => {
			at(engines, index).submit(createGrantRequest(key, request, prediction))
		})
	}

	function handle(index: number, decision: GrantDecision): void {
		const {key} = decision.request
		const flight = flights.get(key)
		if (flight === undefined) return
		const {gateway, request, prediction} = flight
		tellState(index, gateway)
		clock.schedule(clock.now + getDelayMs(index, gateway), () => {
			if (decision.kind === GrantDecisionKind.Refuse) {
				gateway.open[index] = (gateway.open[index] ?? 0) - 1
				ask(key, flight)
				return
			}
			const engine = at(engines, index)
			result.granted[index] = (result.granted[index] ?? 0) + 1
			if (engine.options.domain !== gateway.domain) result.crossings += 1
			engine.run({
				request: decision.request,
				outputTokens: request.outputTokens,
				onFirstEvent: () => {
					firstEvents.push(clock.now - request.at)
				},
				onEnd: events => {
					gateway.open[index] = (gateway.open[index] ?? 0) - 1
					flights.delete(key)
					const subject = createSubject(request)
					const end = {events, isWhole: true}
					gateway.forecast.add(subject, prediction, end)
					if (prediction === undefined) return
					const {tokens: predicted, isHinted} = prediction
					const seen = request.outputTokens
					result.predictions.push({predicted, seen, isHinted})
				}
			})
		})
	}

	for (const [n, request] of load.requests.entries()) {
		clock.schedule(request.at, () => {
			const gateway = at(gateways, request.gateway)
			const prediction =
				rule === Rule.Predicted
					? gateway.forecast.predict(createSubject(request))
					: undefined
			const key = `r${n}`
			const flight = {request, gateway, prediction, tried: new Set<number>()}
			flights.set(key, flight)
			ask(key, flight)
		})
	}
	const endAt = (load.requests.at(-1)?.at ?? 0) + deadlineMs
	const stateMs = Math.max(80, 8 * load.engines.length)
	for (let time = 0; time < endAt; time += stateMs) {
		clock.schedule(time, () => {
			for (const [index, engine] of engines.entries()) {
				engine.tick()
				for (const gateway of gateways) tellState(index, gateway)
			}
		})
	}
	clock.run(endAt)
	const met = firstEvents.filter(elapsedMs => elapsedMs <= objectiveMs).length
	result.inTime = met / load.requests.length
	result.storeLoads = engines.reduce(
		(sum, engine) => sum + engine.storeLoads,
		0
	)
	firstEvents.sort((a, b) => a - b)
	result.p95FirstEventMs =
		firstEvents[Math.floor(firstEvents.length * 0.95)] ?? 0
	return result
}

function createSubject({
	member,
	adapter,
	lengthHint,
	maxTokens
}: SimRequest): Parameters<OutputForecast["predict"]>[0] {
	return {route, member, adapter: `base/${adapter}`, lengthHint, maxTokens}
}

function createQuery(
	{adapter, promptTokens}: SimRequest,
	prediction: OutputPrediction | undefined
): Parameters<EngineChoice["choose"]>[0] {
	return {
		slotKey: `base/${adapter}`,
		hasAdapter: true,
		promptTokens,
		expectedOutputTokens: Math.round(prediction?.tokens ?? 0)
	}
}

function createGrantRequest(
	key: string,
	request: SimRequest,
	prediction: OutputPrediction | undefined
): GrantRequest {
	return {
		key,
		requestId: key,
		owner: `g${request.gateway}`,
		model: "base",
		adapter: request.adapter,
		parts: [],
		promptTokens: request.promptTokens,
		outputTokens: request.maxTokens,
		expectedOutputTokens: Math.round(prediction?.tokens ?? 0),
		priority: 0,
		objectiveAt: request.at + objectiveMs,
		startBy: request.at + startByMs,
		deadline: request.at + deadlineMs
	}
}

function pickLeast(
	indexes: readonly number[],
	getCost: (index: number) => number
): number | undefined {
	let best: number | undefined
	let lowest = Number.POSITIVE_INFINITY
	for (const index of indexes) {
		const cost = getCost(index)
		if (cost >= lowest) continue
		lowest = cost
		best = index
	}
	return best
}

function at<T>(items: readonly T[], index: number): T {
	const item = items[index]
	if (item === undefined) throw new Error(`no item ${index}`)
	return item
}
