/** The target deployment size and the limits on control work at that size. */

export const targetSize = {
	entries: 40,
	endpoints: 320,
	workersPerEndpoint: 5,
	failureDomains: 5,
	adapters: 190_000,
	requestsPerSecond: 1400,
	tokensPerSecond: 320_000,
	msBetweenTokens: 36,
	/** Share of the adapters that become active or idle within an hour. */
	activityChangeShare: 0.12,
	configChangesPerDay: 1700,
	startsPerDay: 38 + 130,
	/** Share of the requests that are bookings. */
	bookingShare: 0.1
}

export type DeploymentSize = typeof targetSize

/**
 * Limits on the control work of one entry or endpoint process, and on the calls
 * that all processes together send to the platform.
 */
export const controlLimits = {
	corePercent: 2.2,
	memoryMb: 256,
	kilobytesPerSecond: 19,
	platformWritesPerSecond: 300,
	platformReadsPerSecond: 2000
}

const secondsPerHour = 3600
const secondsPerDay = 86_400

export function getActivityChangesPerSecond({
	adapters,
	activityChangeShare
}: DeploymentSize): number {
	return (adapters * activityChangeShare) / secondsPerHour
}

export function getConfigChangesPerSecond({
	configChangesPerDay
}: DeploymentSize): number {
	return configChangesPerDay / secondsPerDay
}

export function getProcessStartsPerSecond({
	startsPerDay
}: DeploymentSize): number {
	return startsPerDay / secondsPerDay
}

/** Mean number of requests that run at one entry at the same time. */
export function getRunningRequestsPerEntry(size: DeploymentSize): number {
	return (size.tokensPerSecond * size.msBetweenTokens) / 1000 / size.entries
}
