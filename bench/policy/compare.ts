/** Compares the policy with the baselines on the same workloads and seed. */
import {
	AdapterScheduler,
	FifoScheduler,
	LeastLoadedRouter,
	ResidencyRouter,
	StaticHashRouter
} from "../../src/policy/index.js"
import {PolicyModel} from "./model.js"
import type {Policy} from "./model.js"
import {scenarios} from "./scenarios.js"
import type {Scenario} from "./scenarios.js"

const homes = 3

const policies: Policy[] = [
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
	"in window",
	"stall p50/p95 ms",
	"interactive p50/p95",
	"stalled",
	"loads/1000",
	"batch eff.",
	"answers/s",
	"bound/s",
	"recovery s"
]

export function compare(seed: number, filter = ""): void {
	for (const scenario of scenarios) {
		if (!scenario.name.toLowerCase().includes(filter)) continue
		console.log(`\n${scenario.name} (seed ${seed})`)
		console.log(columns.join(" | "))
		for (const policy of policies) {
			console.log(measure(scenario, policy, seed))
		}
	}
}

function measure(scenario: Scenario, policy: Policy, seed: number): string {
	const measures = new PolicyModel(scenario, policy, seed).run()
	const recovered = getChangeTimes(scenario).map(at =>
		((measures.getRecoveryMs(at) ?? Infinity) / 1000).toFixed(0)
	)
	const quantiles = (read: (share: number) => number): string =>
		`${read(0.5).toFixed(0)}/${read(0.95).toFixed(0)}`
	return [
		policy.name,
		formatShare(measures.inWindow / measures.arrived),
		quantiles(share => measures.getAllStallMs(share)),
		quantiles(share => measures.getStallMs(share, false)),
		formatShare(measures.getStalledShare()),
		measures.getLoadsPerThousand().toFixed(0),
		formatShare(measures.getBatchEfficiency()),
		measures.getAnsweredPerSecond().toFixed(1),
		measures.getBoundPerSecond().toFixed(1),
		recovered.join(" ") || "-"
	].join(" | ")
}

function getChangeTimes(scenario: Scenario): number[] {
	const resets = scenario.resetsAt.map(({at}) => at)
	return [...new Set([...scenario.shiftsAt, ...resets])]
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`
}
