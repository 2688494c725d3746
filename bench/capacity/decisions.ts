/**
 * Measures the time of one decision of the router and the membership of an
 * entry, and of the scheduler of an endpoint process.
 */
import {HostRole, HostState} from "../../src/host/host.js"
import type {HostRecord} from "../../src/link/index.js"
import {
	AdapterScheduler,
	type EndpointView,
	RequestClass,
	ResidencyRouter,
	type SchedulerAction,
	SchedulerActionKind,
	type SchedulerEvent,
	SchedulerEventKind
} from "../../src/policy/index.js"
import {Membership} from "../../src/policy/membership.js"
import {MembershipEventType} from "../../src/policy/membershipTypes.js"
import {fitLine, type Point} from "./fit.js"
import {createHostId} from "./peerOrders.js"
import {type Cell, printTable} from "./print.js"
import {measureMeanUs} from "./probe.js"

const endpointCounts = [8, 80, 320]
const residentAdaptersPerEndpoint = 12
const timedRouterDecisions = 5000
const adapterCount = 190_000
const hostCounts = [60, 180, 360]
const timedMembershipMessages = 5000
const timedMembershipListings = 200
const queueLengths = [16, 400]
const timedSchedulerSteps = 10_000
const workers = ["a", "b", "c", "d", "e"]

export function measureDecisions(): void {
	measureRouter()
	measureMembership()
	measureScheduler()
}

function measureRouter(): void {
	const points: Point[] = []
	const rows = endpointCounts.map((count): Cell[] => {
		const us = timeRouter(count)
		points.push({x: count, y: us})
		return [String(count), us]
	})
	printTable(
		`router, ${residentAdaptersPerEndpoint} resident adapters at each endpoint`,
		["endpoints", "us per decision"],
		rows
	)
	printFit("us per endpoint", points)
}

function timeRouter(count: number): number {
	const views = Array.from({length: count}, (_, index) => createView(index))
	const router = new ResidencyRouter()
	const excluded = new Set<string>()
	let choice = 0
	return measureMeanUs(() => {
		choice += 1
		const query = {
			// A prime stride, so that successive requests name distant adapters.
			adapter: createAdapterName((choice * 7919) % adapterCount),
			class: RequestClass.Interactive,
			member: "member",
			deadline: 30_000,
			prefixHash: 0,
			excluded,
			failureDomain: "a"
		}
		router.choose(query, views, choice, (choice % 100) / 100)
	}, timedRouterDecisions)
}

function createView(index: number): EndpointView {
	const first = index * residentAdaptersPerEndpoint
	const names = Array.from({length: residentAdaptersPerEndpoint}, (_, offset) =>
		createAdapterName(first + offset)
	)
	return {
		id: createHostId(index),
		failureDomain: "a",
		admitting: true,
		workers: workers.length,
		seats: 40,
		slots: 40,
		resident: new Set(names),
		loading: new Set(),
		running: index % 40,
		queued: index % 4,
		unreportedOwnRequests: 0,
		loadMs: 250
	}
}

function createAdapterName(index: number): string {
	return `loom-1:m-${String(index).padStart(6, "0")}@v1`
}

function measureMembership(): void {
	const points: Point[] = []
	const rows = hostCounts.map((count): Cell[] => {
		const records = Array.from({length: count}, (_, index) =>
			createHostRecord(index)
		)
		const membership = new Membership({selfId: "entry-01"})
		membership.step({type: MembershipEventType.Listed, hosts: records}, 0)
		let now = 0
		const heardUs = measureMeanUs(() => {
			now += 1
			const hostId = createHostId(now % count)
			const type = MembershipEventType.Heard
			membership.step({type, hostId, incarnation: 1}, now)
			membership.nextTickAt()
		}, timedMembershipMessages)
		const listedUs = measureMeanUs(() => {
			const type = MembershipEventType.Listed
			membership.step({type, hosts: records}, now)
		}, timedMembershipListings)
		points.push({x: count, y: heardUs})
		return [String(count), heardUs, listedUs]
	})
	printTable(
		"membership",
		["hosts", "us per received message", "us per processed host list"],
		rows
	)
	printFit("us per message and host", points)
}

function createHostRecord(index: number): HostRecord {
	return {
		id: createHostId(index),
		role: HostRole.Endpoint,
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
		failureDomain: "a",
		pool: "loom-1",
		state: HostState.Live
	}
}

function measureScheduler(): void {
	const rows = queueLengths.map((queued): Cell[] => [
		String(queued),
		timeScheduler(queued)
	])
	printTable("scheduler, five workers", ["queued", "us per step"], rows)
}

/**
 * Each step completes a pending run or load; a new request arrives instead
 * while fewer than `queued` requests wait or nothing is pending.
 */
function timeScheduler(queued: number): number {
	const scheduler = new AdapterScheduler({
		workers,
		slots: 8,
		seats: 8,
		objective: {loadStalls: 0.5, batchEfficiency: 0.5},
		share: {loadsPerSecond: 1000, inFlight: 8},
		msPerToken: 20,
		loadMs: 250,
		maxQueued: 4 * queued
	})
	const pending: SchedulerEvent[] = []
	let now = 0
	let id = 0
	const step = (event: SchedulerEvent): void => {
		for (const action of scheduler.step(event, now)) {
			const reply = createCompletionEvent(action)
			if (reply !== undefined) pending.push(reply)
		}
	}
	const arrive = (): void => {
		id += 1
		step(createArrivalEvent(id, now))
	}
	for (let count = 0; count < queued; count++) arrive()
	return measureMeanUs(() => {
		now += 1
		const event =
			scheduler.snapshot().queued < queued ? undefined : pending.shift()
		if (event === undefined) arrive()
		else step(event)
	}, timedSchedulerSteps)
}

function createCompletionEvent(
	action: SchedulerAction
): SchedulerEvent | undefined {
	if (action.kind === SchedulerActionKind.Run) {
		const {worker, id} = action
		return {kind: SchedulerEventKind.RunEnded, worker, id}
	}
	if (action.kind !== SchedulerActionKind.Load) return undefined
	const {worker, adapter} = action
	const kind = SchedulerEventKind.LoadEnded
	return {kind, worker, adapter, ok: true, tookMs: 250}
}

function createArrivalEvent(id: number, now: number): SchedulerEvent {
	return {
		kind: SchedulerEventKind.Arrived,
		draft: {
			id: `request-${id}`,
			// A prime stride, so that the requests spread over all 300 adapters.
			adapter: createAdapterName((id * 7919) % 300),
			member: `member-${id % 200}`,
			class: id % 2 === 0 ? RequestClass.Interactive : RequestClass.Deferrable,
			deadline: now + 3_600_000,
			arrivedAt: now,
			maxTokens: 250,
			prefixHash: 0
		}
	}
}

function printFit(unit: string, points: readonly Point[]): void {
	const {slope, intercept, maxResidual} = fitLine(points)
	console.log(
		`fit: ${slope.toFixed(3)} ${unit}, ${intercept.toFixed(1)} us constant, ` +
			`largest residual ${(100 * maxResidual).toFixed(0)}%`
	)
}
