/**
 * Unit costs measured by the sections of main.ts; the estimates don't use all of
 * them. To measure them again, run `npm run build` and the section named above
 * them. This doesn't work for the core shares of section `links`: they hold for
 * heartbeats of 1 s, but the section now runs at the longer intervals that Fleet
 * chooses for many links.
 */

export const unitCosts = {
	/** Section `configuration`. */
	configBytesPerAdapter: 236,
	rootBytes: 38_561,
	partBytes: 28_562,
	configInstallUs: 1475,
	/** Section `decisions`, with 320 endpoints and 360 hosts. */
	routingDecisionUs: 128,
	membershipMessageUs: 77.2,
	membershipListUs: 150,
	schedulerStepUs: 72.4,
	/** Section `wire`: one link, both directions, at heartbeats of 1 s. */
	idleLinkBytesPerSecond: 419,
	busyLinkBytesPerSecond: 1054,
	/** Section `wire`, for each replaced adapter on one link. */
	residencyBytes: 152,
	/** Section `wire`, for each announcement; client and server together. */
	announceBytes: 482,
	announceUs: 2576,
	/** Section `links`, an entry with 320 links, at heartbeats of 1 s. */
	idleLinksCoreShare: 0.189,
	busyLinksCoreShare: 0.269,
	linkKb: 36.7,
	/** As above, the endpoint's side of one link, with 50 links. */
	endpointIdleLinkCoreShare: 0.00077,
	endpointBusyLinkCoreShare: 0.001343,
	/** Section `streams`. */
	runningRequestKb: 20.6,
	chunkUs: 68,
	tokenUsAtEightPerChunk: 7.22,
	requestOverheadUs: 2360,
	/** Section `processes`, with 3,000 adapters and 2 to 8 entries. */
	entryBaseMb: 125,
	endpointBaseMb: 113,
	endpointBaseCoreShare: 0.0102,
	entryTokenUs: 135,
	endpointTokenUs: 155,
	/** Section `claims`, at 140 bookings per second, 20 ms between writes, 64 buckets. */
	claimWritesPerBooking: 1.13,
	/** Characters of JSON, taken as bytes. */
	bytesPerClaimWrite: 7876,
	/** Section `burn`, one entry and 1,000 Members. */
	burnWritesPerSecond: 0.0333,
	burnReadsPerSecond: 0.0267,
	burnBytesPerSecond: 965,
	/** Section `platform`, of one watcher. */
	watcherReadsPerSecond: 0.125,
	/** Section `platform`, the bytes per host times 360 hosts. */
	hostListBytes: 45_000
}

export type UnitCosts = typeof unitCosts
