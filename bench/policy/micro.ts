/**
 * Measures the time of one decision of the router, the scheduler and the load
 * shares, and the heap that the state of the policy takes.
 */
import {
	AdapterScheduler,
	DemandLoadShares,
	Popularity,
	RequestClass,
	ResidencyRouter,
	SchedulerActionKind,
	SchedulerEventKind
} from "../../src/policy/index.js"
import type {
	Draft,
	EndpointView,
	SchedulerAction
} from "../../src/policy/index.js"
import {createRandom, Zipf} from "./random.js"

const timedRouterDecisions = 20_000
const timedSchedulerSteps = 20_000
const timedShareDecisions = 200_000
const adapterCount = 3000
/** With fewer queued requests, heap noise exceeds the size of their state. */
const minHeapSampleSize = 1000
const slots = 8
const noExcludedHosts: ReadonlySet<string> = new Set()

export function measureDecisions(seed: number): void {
	for (const endpoints of [8, 40, 320]) measureRouter(endpoints, seed)
	for (const queued of [16, 1000, 10_000]) measureScheduler(queued, seed)
	measureShares()
	measurePopularity()
	measureResidency()
}

function measureRouter(endpoints: number, seed: number): void {
	const random = createRandom(seed)
	const zipf = new Zipf(adapterCount)
	const views = Array.from({length: endpoints}, (_, index) =>
		createView(index, random)
	)
	const router = new ResidencyRouter()
	const route = (): void => {
		const query = {
			adapter: `adapter-${zipf.draw(random)}`,
			class: RequestClass.Interactive,
			member: "member",
			deadline: 30_000,
			prefixHash: 0,
			excluded: noExcludedHosts,
			failureDomain: "domain-0"
		}
		router.choose(query, views, 0, random())
	}
	const us = measureMeanUs(route, timedRouterDecisions)
	console.log(
		`router, ${endpoints} endpoints: ${us.toFixed(1)} us per decision`
	)
}

function createView(index: number, random: () => number): EndpointView {
	const drawAdapterName = (): string =>
		`adapter-${Math.floor(random() * adapterCount)}`
	return {
		id: `host-${index}`,
		failureDomain: `domain-${index % 4}`,
		admitting: true,
		workers: 1,
		seats: 8,
		slots,
		resident: new Set(Array.from({length: slots}, drawAdapterName)),
		loading: new Set(),
		running: Math.floor(random() * 8),
		queued: Math.floor(random() * 4),
		unreportedOwnRequests: 0,
		loadMs: 250
	}
}

/**
 * Completes pending runs and loads, and adds a request whenever fewer than
 * `queued` requests wait.
 */
function measureScheduler(queued: number, seed: number): void {
	const random = createRandom(seed)
	const zipf = new Zipf(adapterCount)
	const before = readHeap()
	const scheduler = new AdapterScheduler({
		workers: ["a", "b", "c", "d", "e"],
		slots,
		seats: 8,
		objective: {loadStalls: 0.5, batchEfficiency: 0.5},
		share: {loadsPerSecond: 1000, inFlight: 8},
		msPerToken: 20,
		loadMs: 250,
		maxQueued: 2 * queued
	})
	let now = 0
	let steps = 0
	let nextId = 0
	let stepMs = 0
	const pending: SchedulerAction[] = []
	const step = (event: Parameters<AdapterScheduler["step"]>[0]): void => {
		const start = performance.now()
		const actions = scheduler.step(event, now)
		stepMs += performance.now() - start
		steps += 1
		for (const action of actions) {
			if (action.kind === SchedulerActionKind.Run) pending.push(action)
			if (action.kind === SchedulerActionKind.Load) pending.push(action)
		}
	}
	const addRequest = (): void => {
		const draft = createDraft(nextId++, zipf.draw(random), now)
		step({kind: SchedulerEventKind.Arrived, draft})
	}
	for (let count = 0; count < queued; count++) addRequest()
	const heapBytes = (readHeap() - before) / queued
	steps = 0
	stepMs = 0
	while (steps < timedSchedulerSteps) {
		now += 1
		const action = pending.shift()
		if (action) completeAction(action, step)
		if (scheduler.snapshot().queued < queued) addRequest()
	}
	const us = (1000 * stepMs) / steps
	const heap = queued < minHeapSampleSize ? "-" : heapBytes.toFixed(0)
	console.log(
		`scheduler, ${queued} queued: ${us.toFixed(1)} us per step, ` +
			`${heap} heap bytes per request`
	)
}

function completeAction(
	action: SchedulerAction,
	step: (event: Parameters<AdapterScheduler["step"]>[0]) => void
): void {
	if (action.kind === SchedulerActionKind.Run) {
		const {worker, id} = action
		step({kind: SchedulerEventKind.RunEnded, worker, id})
	}
	if (action.kind === SchedulerActionKind.Load) {
		const {worker, adapter} = action
		const kind = SchedulerEventKind.LoadEnded
		step({kind, worker, adapter, ok: true, tookMs: 250})
	}
}

function createDraft(id: number, adapter: number, now: number): Draft {
	return {
		id: `request-${id}`,
		adapter: `adapter-${adapter}`,
		member: `member-${id % 200}`,
		class: id % 2 === 0 ? RequestClass.Interactive : RequestClass.Deferrable,
		deadline: now + 3_600_000,
		arrivedAt: now,
		maxTokens: 250,
		prefixHash: 0
	}
}

function measureShares(): void {
	const limits = {loadsPerSecond: 5, inFlight: 8, loadMs: 250}
	const shares = new DemandLoadShares({limits, processes: 320})
	for (let entry = 0; entry < 40; entry++) {
		const fleet = {entry: `entry-${entry}`, demand: entry, demanding: 8}
		shares.addFleetDemand(fleet, 0)
	}
	const us = measureMeanUs(() => shares.getShare(1), timedShareDecisions)
	console.log(`load shares, 40 entries: ${us.toFixed(2)} us per share`)
}

function measurePopularity(): void {
	const before = readHeap()
	const popularity = new Popularity({maxCounters: 20_000})
	for (let adapter = 0; adapter < 20_000; adapter++) {
		popularity.add(`base:adapter-${adapter}@1`, 0)
	}
	const bytes = (readHeap() - before) / popularity.size
	console.log(`popularity: ${bytes.toFixed(0)} heap bytes per adapter`)
}

/**
 * Measures the sets of resident adapters that an entry keeps for 320 endpoints
 * of five engines each.
 */
function measureResidency(): void {
	const before = readHeap()
	const sets = Array.from({length: 320}, (_, host) => {
		const names = Array.from({length: 5 * slots}, (_name, index) => {
			return `base:adapter-${host}-${index}@1`
		})
		return new Set(names)
	})
	const bytes = (readHeap() - before) / (sets.length * 5 * slots)
	console.log(`residency: ${bytes.toFixed(0)} heap bytes per resident adapter`)
}

function measureMeanUs(call: () => void, times: number): number {
	for (let count = 0; count < times / 10; count++) call()
	const start = performance.now()
	for (let count = 0; count < times; count++) call()
	return (1000 * (performance.now() - start)) / times
}

/** Heap in use; includes garbage unless node runs with `--expose-gc`. */
function readHeap(): number {
	globalThis.gc?.()
	return process.memoryUsage().heapUsed
}
