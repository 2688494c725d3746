/** The target size and the limits that go with it. */

export const targetSize = {
	entries: 40,
	endpoints: 320,
	workersPerEndpoint: 5,
	failureDomains: 5,
	adapters: 190_000,
	requestsPerSecond: 1400,
	tokensPerSecond: 320_000,
	msBetweenTokens: 36,
	/** Share of the adapters that wake up or fall idle within an hour. */
	wakingShare: 0.12,
	configChangesPerDay: 1700,
	startsPerDay: 38 + 130,
	/** Share of the requests that are bookings. */
	bookingShare: 0.1
}

export type Size = typeof targetSize

/** What control may cost a node, and what the platform takes. */
export const limits = {
	corePercent: 2.2,
	memoryMb: 256,
	kilobytesPerSecond: 19,
	platformWritesPerSecond: 300,
	platformReadsPerSecond: 2000
}

const secondsPerHour = 3600
const secondsPerDay = 86_400

export function wakingsPerSecond({adapters, wakingShare}: Size): number {
	return (adapters * wakingShare) / secondsPerHour
}

export function changesPerSecond({configChangesPerDay}: Size): number {
	return configChangesPerDay / secondsPerDay
}

export function startsPerSecond({startsPerDay}: Size): number {
	return startsPerDay / secondsPerDay
}

/** Requests that run at a time at one entry. */
export function runningPerEntry(size: Size): number {
	return (size.tokensPerSecond * size.msBetweenTokens) / 1000 / size.entries
}
