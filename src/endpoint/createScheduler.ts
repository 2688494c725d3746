/** Chooses the decision modules of an engine host by name. */
import {
	AdapterScheduler,
	DemandLoadShares,
	FifoScheduler,
	FixedLoadShares,
	type LoadShares,
	type LoadSharesOptions,
	type Scheduler,
	type SchedulerOptions
} from "../policy/index.js"
import {PolicyName} from "../policy/policyName.js"

export function createScheduler(
	policy: PolicyName,
	options: SchedulerOptions
): Scheduler {
	if (policy === PolicyName.Adapter) return new AdapterScheduler(options)
	return new FifoScheduler(options)
}

export function createLoadShares(
	policy: PolicyName,
	options: LoadSharesOptions
): LoadShares {
	if (policy === PolicyName.Adapter) return new DemandLoadShares(options)
	return new FixedLoadShares(options)
}
