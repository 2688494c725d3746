/** Names of the sets of decisions that a process can run with. */
export enum PolicyName {
	/** Residency routing, adapter scheduling and shares by demand. */
	Adapter = "adapter",
	/** Baseline: the least loaded endpoint, FIFO loads, LRU eviction. */
	LeastLoaded = "least-loaded",
	/** Baseline: static hashing, FIFO loads, LRU eviction. */
	Static = "static",
	/** Baseline: residency routing with FIFO loads and LRU eviction. */
	Fifo = "fifo"
}
