/**
 * Unit costs measured by the sections of main.ts. To measure them again, run
 * `npm run build` and the section named above them.
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
	/** Section `wire`, with a heartbeat interval of 1 s. */
	idleLinkBytes: 419,
	busyLinkBytes: 1054,
	residencyBytes: 152,
	announceBytes: 482,
	announceUs: 2576,
	/** Section `links`, an entry with 320 links. */
	idleLinksCoreShare: 0.189,
	busyLinksCoreShare: 0.269,
	linkKb: 36.7,
	/** Section `links`, the endpoint's side of one link, at 50 links. */
	endpointIdleLinkCoreShare: 0.00077,
	endpointBusyLinkCoreShare: 0.001343,
	/** Section `streams`. */
	runningRequestKb: 20.6,
	chunkUs: 68,
	tokenUsAtEightPerChunk: 7.22,
	requestOverheadUs: 2360,
	/** Section `processes`. */
	entryBaseMb: 125,
	endpointBaseMb: 113,
	endpointBaseCoreShare: 0.0102,
	entryTokenUs: 135,
	endpointTokenUs: 155,
	/** Section `claims`, at 140 bookings per second. */
	claimWritesPerBooking: 1.13,
	bytesPerClaimWrite: 7876,
	/** Section `burn`, one entry. */
	burnWritesPerSecond: 0.0333,
	burnReadsPerSecond: 0.0267,
	burnBytes: 965,
	/** Section `platform`, with a list of 360 hosts. */
	watcherReadsPerSecond: 0.125,
	hostListBytes: 45_000
}

export type UnitCosts = typeof unitCosts
