/** Slopes as the sections print them; `npm run build` and one section remake each. */

export const slopes = {
	/** Section `configuration`. */
	adapterBytes: 236,
	rootBytes: 38_561,
	partBytes: 28_562,
	installUs: 1475,
	/** Section `decisions`, with 320 endpoints and 360 hosts. */
	routeUs: 128,
	heardUs: 77.2,
	listUs: 150,
	schedulerUs: 72.4,
	/** Section `wire`. */
	idleLinkBytes: 419,
	busyLinkBytes: 1054,
	residencyBytes: 152,
	announceBytes: 482,
	announceUs: 2576,
	/** Section `links`, an entry with 320 links. */
	idleLinksShare: 0.189,
	busyLinksShare: 0.269,
	linkKb: 36.7,
	/** Section `links`, the endpoint side of one of 50 links. */
	endpointIdleLinkShare: 0.00077,
	endpointBusyLinkShare: 0.001343,
	/** Section `streams`. */
	requestKb: 20.6,
	chunkUs: 68,
	groupedTokenUs: 7.22,
	requestUs: 2360,
	/** Section `processes`. */
	entryBaseMb: 125,
	endpointBaseMb: 113,
	endpointBaseShare: 0.0102,
	entryTokenUs: 135,
	endpointTokenUs: 155,
	/** Section `claims`, 140 bookings a second. */
	writesPerBooking: 1.13,
	bytesPerClaimWrite: 7876,
	/** Section `burn`, of one entry. */
	burnWritesPerSecond: 0.0333,
	burnReadsPerSecond: 0.0267,
	burnBytes: 965,
	/** Section `platform`, a list of 360 hosts. */
	watcherReadsPerSecond: 0.125,
	hostListBytes: 45_000
}

export type Slopes = typeof slopes
