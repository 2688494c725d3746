/** Sets of routing and scheduling policies with which a process can run. */
export enum PolicyName {
	/** Residency routing, adapter scheduling and load shares by demand. */
	Adapter = "adapter",
	/** Baseline: routing to the least loaded, FIFO loads, LRU eviction. */
	LeastLoaded = "least-loaded",
	/** Baseline: routing by static hash, FIFO loads, LRU eviction. */
	Static = "static",
	/** Baseline: residency routing with FIFO loads and LRU eviction. */
	Fifo = "fifo"
}
