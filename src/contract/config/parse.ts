/** Parses the operator's files, validated as a whole. */
import type {z} from "zod"
import {ConfigError, type ConfigFault} from "./faults.js"
import {checkRules} from "./rules.js"
import {
	gatherSections,
	type Item,
	listSections,
	parseItem,
	type Sections,
	singleSections
} from "./sections.js"
import {type ConfigFile, faultAt, readSource, type Source} from "./source.js"
import {
	type ConfigObjective,
	type Configuration,
	type Pool,
	PoolType,
	type RetryBudgetRule,
	type Settings,
	type WeightStoreLimits
} from "./types.js"

const defaultObjective: ConfigObjective = {
	loadStalls: 0.5,
	batchEfficiency: 0.5
}
const defaultRetryBudget: RetryBudgetRule = {ratio: 0.1, minPerSecond: 1}
/** For deployments without engines. */
const noWeightStore: WeightStoreLimits = {
	loadsPerSecond: 0,
	inFlight: 0,
	loadMs: 0
}

/**
 * Parses and validates the files as one configuration.
 *
 * @throws ConfigError with every fault of every file
 */
export function parseConfiguration(
	files: readonly ConfigFile[]
): Configuration {
	const faults: ConfigFault[] = []
	const sources = files.map(file => readSource(file, faults))
	const isBroken = faults.length > 0
	const sections = gatherSections(sources, faults)
	const configuration = buildConfiguration(sections, faults)
	// A broken file may declare what others refer to.
	if (!isBroken) {
		checkRules(sections, faults)
		checkPresence(sections, sources, faults)
	}
	if (faults.length > 0) throw new ConfigError(sortFaults(files, faults))
	return configuration
}

function buildConfiguration(
	{lists, singles}: Sections,
	faults: ConfigFault[]
): Configuration {
	const all = <T>(items: readonly Item[], schema: z.ZodType<T>): T[] =>
		parseItems(items, schema, faults)
	const one = <T>(
		item: Item | undefined,
		schema: z.ZodType<T>,
		fallback: T
	): T =>
		item === undefined
			? fallback
			: (parseItem(schema, item, faults) ?? fallback)
	const failureDomains = all(lists.failureDomains, listSections.failureDomains)
	const domainNames = failureDomains.map(({name}) => name)
	const pools = all(lists.pools, listSections.pools)
	const settings: Settings = {
		deployment: one(singles.deployment, singleSections.deployment, ""),
		failureDomains,
		baseModels: all(lists.baseModels, listSections.baseModels),
		pools: pools.map(pool => fillDomains(pool, domainNames)),
		routes: all(lists.routes, listSections.routes),
		serviceLevels: all(lists.serviceLevels, listSections.serviceLevels),
		weightStore: one(
			singles.weightStore,
			singleSections.weightStore,
			noWeightStore
		),
		objective: one(
			singles.objective,
			singleSections.objective,
			defaultObjective
		),
		retryBudget: one(
			singles.retryBudget,
			singleSections.retryBudget,
			defaultRetryBudget
		),
		memberWeights: one(singles.memberWeights, singleSections.memberWeights, {})
	}
	return {settings, adapters: all(lists.adapters, listSections.adapters)}
}

function parseItems<T>(
	items: readonly Item[],
	schema: z.ZodType<T>,
	faults: ConfigFault[]
): T[] {
	const values: T[] = []
	for (const item of items) {
		const value = parseItem(schema, item, faults)
		if (value !== undefined) values.push(value)
	}
	return values
}

/** A pool that names no failure domains may be served from all of them. */
function fillDomains(pool: Pool, names: readonly string[]): Pool {
	if (pool.failureDomains.length > 0) return pool
	return {...pool, failureDomains: [...names]}
}

function checkPresence(
	{lists, singles}: Sections,
	sources: readonly Source[],
	faults: ConfigFault[]
): void {
	const [source] = sources
	if (source === undefined) {
		const reason = "no configuration file was given"
		faults.push({file: "-", line: 1, path: "", reason})
		return
	}
	const require = (isPresent: boolean, section: string): void => {
		if (isPresent) return
		faults.push(faultAt(source, [section], "section is missing in all files"))
	}
	const hasEngines = lists.pools.some(
		({raw}) => (raw as Partial<Pool> | null)?.type === PoolType.Engines
	)
	require(singles.deployment !== undefined, "deployment")
	require(lists.failureDomains.length > 0, "failureDomains")
	require(lists.pools.length > 0, "pools")
	require(lists.routes.length > 0, "routes")
	require(!hasEngines || singles.weightStore !== undefined, "weightStore")
}

function sortFaults(
	files: readonly ConfigFile[],
	faults: readonly ConfigFault[]
): ConfigFault[] {
	const order = new Map(files.map(({path}, index) => [path, index]))
	const rank = ({file}: ConfigFault): number => order.get(file) ?? 0
	return [...faults].sort((a, b) => rank(a) - rank(b) || a.line - b.line)
}
