/**
 * Workloads for the comparison of policies, modelled on the two deployments
 * Society and Serindit.
 */
import type {Objective, StoreLimits} from "../../src/policy/index.js"

export interface Scenario {
	name: string
	engines: number
	slots: number
	seats: number
	adapters: number
	entries: number
	store: StoreLimits
	objective: Objective
	msPerToken: number
	durationMs: number
	/** Time at which measurements begin. */
	warmUpMs: number
	/** Request rates, each valid from `at` on; sorted by time. */
	rates: {at: number; perSecond: number}[]
	deferrableShare: number
	interactiveWindowMs: number
	deferrableWindowMs: number
	/** Times at which each popularity rank moves to the adapter 500 further on. */
	popularityShiftsAt: number[]
	/** Engines that restart without resident adapters, and when. */
	coldRestartsAt: {at: number; engine: number}[]
	/** Share of the adapter loads that fail. */
	loadFailureShare: number
}

const society: Scenario = {
	name: "Society, steady",
	engines: 13,
	slots: 8,
	seats: 8,
	adapters: 3000,
	entries: 3,
	store: {loadsPerSecond: 5, inFlight: 8, loadMs: 250},
	objective: {loadStalls: 0.7, batchEfficiency: 0.3},
	msPerToken: 20,
	durationMs: 720_000,
	warmUpMs: 120_000,
	rates: [{at: 0, perSecond: 7}],
	deferrableShare: 0.2,
	interactiveWindowMs: 30_000,
	deferrableWindowMs: 300_000,
	popularityShiftsAt: [],
	coldRestartsAt: [],
	loadFailureShare: 0.01
}

const serindit: Scenario = {
	...society,
	name: "Serindit, month end",
	engines: 6,
	store: {loadsPerSecond: 2.5, inFlight: 8, loadMs: 250},
	objective: {loadStalls: 0.3, batchEfficiency: 0.7},
	durationMs: 1_320_000,
	rates: [
		{at: 0, perSecond: 3},
		{at: 120_000, perSecond: 14}
	],
	deferrableShare: 0.85,
	interactiveWindowMs: 30_000,
	deferrableWindowMs: 600_000
}

export const scenarios: Scenario[] = [
	society,
	{
		...society,
		name: "Society, lunch hour",
		rates: [
			{at: 0, perSecond: 7},
			{at: 120_000, perSecond: 16}
		]
	},
	{
		...society,
		name: "Society, shift of popularity",
		popularityShiftsAt: [240_000]
	},
	{
		...society,
		name: "Society, four cold restarts",
		coldRestartsAt: [0, 1, 2, 3].map(engine => ({at: 240_000, engine}))
	},
	serindit,
	{
		...serindit,
		name: "Serindit, busy day",
		rates: [
			{at: 0, perSecond: 3},
			{at: 120_000, perSecond: 10}
		]
	}
]
