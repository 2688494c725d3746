/**
 * Runs the policy and the baselines on the same workloads with the same seed,
 * and prints a row of measurements for each.
 */
import {
	AdapterScheduler,
	FifoScheduler,
	LeastLoadedRouter,
	ResidencyRouter,
	StaticHashRouter
} from "../../src/policy/index.js"
import {PolicyModel} from "./model.js"
import type {PolicyVariant} from "./model.js"
import {scenarios} from "./scenarios.js"
import type {Scenario} from "./scenarios.js"

const homes = 3

const policies: PolicyVariant[] = [
	{
		name: "policy",
		createRouter: serviceMs =>
			new ResidencyRouter({homeCount: homes, serviceMs}),
		createScheduler: options => new AdapterScheduler(options),
		hasFixedShares: false
	},
	{
		name: "policy, fixed shares",
		createRouter: serviceMs =>
			new ResidencyRouter({homeCount: homes, serviceMs}),
		createScheduler: options => new AdapterScheduler(options),
		hasFixedShares: true
	},
	{
		name: "residency + FIFO",
		createRouter: serviceMs =>
			new ResidencyRouter({homeCount: homes, serviceMs}),
		createScheduler: options => new FifoScheduler(options),
		hasFixedShares: true
	},
	{
		name: "static hash + FIFO",
		createRouter: () => new StaticHashRouter(),
		createScheduler: options => new FifoScheduler(options),
		hasFixedShares: true
	},
	{
		name: "least loaded + FIFO",
		createRouter: () => new LeastLoadedRouter(),
		createScheduler: options => new FifoScheduler(options),
		hasFixedShares: true
	}
]

const columns = [
	"policy",
	"answered by deadline",
	"stall p50/p95 ms",
	"interactive stall p50/p95 ms",
	"share stalled",
	"loads per 1000 answers",
	"batch efficiency",
	"answers/s",
	"answer bound/s",
	"recovery s"
]

export function compare(seed: number, filter = ""): void {
	for (const scenario of scenarios) {
		if (!scenario.name.toLowerCase().includes(filter)) continue
		console.log(`\n${scenario.name} (seed ${seed})`)
		console.log(columns.join(" | "))
		for (const policy of policies) {
			console.log(measureAndFormat(scenario, policy, seed))
		}
	}
}

function measureAndFormat(
	scenario: Scenario,
	policy: PolicyVariant,
	seed: number
): string {
	const measures = new PolicyModel(scenario, policy, seed).run()
	const recoveryTimesS = getDisturbanceTimes(scenario).map(at =>
		((measures.getRecoveryMs(at) ?? Infinity) / 1000).toFixed(0)
	)
	const formatQuantiles = (read: (share: number) => number): string =>
		`${read(0.5).toFixed(0)}/${read(0.95).toFixed(0)}`
	return [
		policy.name,
		formatShare(measures.answeredByDeadline / measures.arrived),
		formatQuantiles(share => measures.getAllStallMs(share)),
		formatQuantiles(share => measures.getStallMs(share, false)),
		formatShare(measures.getStalledShare()),
		measures.getLoadsPerThousandAnswers().toFixed(0),
		formatShare(measures.getBatchEfficiency()),
		measures.getAnsweredPerSecond().toFixed(1),
		measures.getAnswerBoundPerSecond().toFixed(1),
		recoveryTimesS.join(" ") || "-"
	].join(" | ")
}

function getDisturbanceTimes(scenario: Scenario): number[] {
	const coldRestartTimes = scenario.coldRestartsAt.map(({at}) => at)
	return [...new Set([...scenario.popularityShiftsAt, ...coldRestartTimes])]
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`
}
