/**
 * Creates the scheduler and the weight store shares of an engine host. The
 * `adapter` policy gets the adapter-aware implementations; all other policies
 * get the baselines, which are FIFO order and fixed shares.
 */
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
